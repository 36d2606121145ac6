/**
 * Steps about the judgement of lost calls in a soak.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    CallEnd,
    type CallRecord,
    judgeLoss,
    type LossSpan,
    type NodeRecord,
    type Span,
} from "../../platform/standin/soak/call_loss.js";
import type { Scenario } from "../support/world.js";

/** Call that the cases change. */
const CALL: CallRecord = {
    begunAtMs: 10_000,
    sentAtMs: 10_000,
    endedAtMs: 10_600,
    end: CallEnd.Closed,
    isKept: false,
    limitMs: 2_500,
    isPassedOn: true,
    isBrokenOff: false,
    workedUntilMs: undefined,
};

/** Node that the cases change. */
const NODE: NodeRecord = { disruptions: [], startsMs: [], stopsMs: [], reloadsMs: [], configurationsMs: [], graceMs: 3_000 };

/** State of a scenario of this file. */
interface OracleScenario extends Scenario {
    spans: readonly LossSpan[];
}

When(
    "a call is judged that differs in {string} at a node that differs in {string}",
    function(this: OracleScenario, call: string, node: string) {
        this.spans = judgeLoss({ ...CALL, ...parseFields(call, CALL, parseCallField) }, {
            ...NODE,
            ...parseFields(node, NODE, parseNodeField),
        });
    },
);

Then("it counts as lost {string}", function(this: OracleScenario, spans: string) {
    assert.equal(this.spans.join(", "), spans);
});

/** @returns The fields of a text such as `a=1 b=2`, each of which must be one of a record. */
function parseFields<T>(text: string, record: object, parse: (value: string) => T): Readonly<Record<string, T>> {
    const fields: Record<string, T> = {};
    for (const field of text.split(" ").filter(part => part !== "")) {
        const [name, value] = field.split("=");
        assert(name in record, `unknown field ${name}`);
        fields[name] = parse(value);
    }
    return fields;
}

function parseCallField(value: string): CallEnd | boolean | number | undefined {
    if (value === "undefined") {
        return undefined;
    }
    if (value === "true" || value === "false") {
        return value === "true";
    }
    return Object.values(CallEnd).find(end => end === value.replaceAll("_", " ")) ?? parseTime(value);
}

function parseNodeField(value: string): readonly (number | Span)[] {
    return value.split(",").filter(part => part !== "").map(part => {
        const [fromMs, toMs] = part.split("-").map(parseTime);
        return part.includes("-") ? { fromMs, toMs } : fromMs;
    });
}

function parseTime(text: string): number {
    assert.match(text, /^\d+$/);
    return Number(text);
}
