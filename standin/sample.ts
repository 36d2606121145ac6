/**
 * Sample of calls to a local fleet, one of each operation and way of answering.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { request } from "undici";
import { formatTable } from "../src/cli/mod.js";
import { type ConfigurationDocument, type Operation, PoolKind } from "../src/state/mod.js";
import { type Deployment, toDocument } from "./deployment.js";
import { expectedAnswer } from "./engine_model.js";
import type { LocalFleet } from "./local_fleet.js";

/** Most tokens of a sample's answer. */
const SAMPLE_MAX_TOKENS = 24;

/** Result of one call. */
export interface SampleResult {
    readonly tier: string;
    readonly operation: string;
    readonly node: string;
    readonly mode: "whole" | "streamed" | "service";
    readonly status: number;
    /** Whether the whole answer to this very call came. */
    readonly complete: boolean;
    /** Whether it came within its promise. */
    readonly metObjective: boolean;
    readonly answerMs: number;
}

/** Call of a sample. */
interface SampleCall {
    readonly operation: Operation;
    readonly mode: SampleResult["mode"];
    readonly node: string;
    readonly address: string;
    readonly key: string;
}

/**
 * Sends each operation to the daemons in turn, model operations both whole and streamed.
 *
 * @param fleet Fleet that is ready.
 * @param deployment Deployment of the fleet.
 */
export async function sendSample(fleet: LocalFleet, deployment: Deployment): Promise<readonly SampleResult[]> {
    const document = toDocument(deployment);
    const calls: SampleCall[] = [];
    for (const operation of document.operations) {
        for (const way of modesOf(operation, document)) {
            const daemon = fleet.daemons[calls.length % fleet.daemons.length];
            const { key } = deployment.workspaces[calls.length % deployment.workspaces.length];
            calls.push({ operation, mode: way, node: daemon.node, address: daemon.callers, key });
        }
    }
    return Promise.all(calls.map(sendCall));
}

/** Lays out the results, then the goodput of each tier. */
export function formatSample(results: readonly SampleResult[]): string {
    const rows = results.map(result => [
        result.tier,
        result.operation,
        result.mode,
        result.node,
        String(result.status),
        `${Math.round(result.answerMs)} ms`,
        result.metObjective ? "yes" : "no",
    ]);
    const tiers = [...new Set(results.map(result => result.tier))];
    const goodput = tiers.map(tier => {
        const ofTier = results.filter(result => result.tier === tier);
        const kept = ofTier.filter(result => result.metObjective).length;
        return [tier, String(ofTier.length), String(kept), `${Math.round(100 * kept / ofTier.length)}%`];
    });
    const calls = formatTable(["TIER", "OPERATION", "WAY", "NODE", "STATUS", "TIME", "KEPT"], rows);
    return `${calls}\n${formatTable(["TIER", "CALLS", "WHOLE IN TIME", "GOODPUT"], goodput)}`;
}

function modesOf(operation: Operation, document: ConfigurationDocument): readonly SampleResult["mode"][] {
    const pool = document.pools.find(each => each.name === operation.pool);
    return pool?.kind === PoolKind.Model ? ["whole", "streamed"] : ["service"];
}

async function sendCall(call: SampleCall): Promise<SampleResult> {
    const startMs = performance.now();
    const headers: Record<string, string> = {
        authorization: `Bearer ${call.key}`,
        "content-type": "application/json",
        "idempotency-key": randomUUID(),
    };
    const { mode: way, operation } = call;
    const [route] = operation.routes;
    const body = Buffer.from(JSON.stringify(
        way === "service" ? { sample: true } : {
            model: "default",
            stream: way === "streamed",
            max_tokens: SAMPLE_MAX_TOKENS,
            messages: [{ role: "user", content: `Sample of ${operation.name}, ${way}, ${randomUUID()}.` }],
        },
    ));
    const path = way === "service" ? `/v1/services/${route.service}${route.pathPrefix}` : "/v1/chat/completions";
    const method = way === "service" ? route.method : "POST";
    if (way !== "service") {
        headers["foxtailrail-operation"] = operation.name;
    }
    const sentBody = method === "GET" ? undefined : body;
    const response = await request(`http://${call.address}${path}`, { method: method as "POST", headers, body: sentBody });
    const text = await response.body.text();
    const answerMs = performance.now() - startMs;
    const whole = response.statusCode === 200 && (way === "service" || answerText(text, way) === expectedAnswer(body));
    const kept = whole && answerMs <= operation.promise.answerMs;
    return {
        tier: operation.tier,
        operation: operation.name,
        node: call.node,
        mode: way,
        status: response.statusCode,
        complete: whole,
        metObjective: kept,
        answerMs,
    };
}

/** Part of an answer that the sample reads. */
interface AnswerPart {
    readonly choices: readonly {
        readonly message?: { readonly content: string };
        readonly delta?: { readonly content?: string };
    }[];
}

/**
 * Returns the text of an answer; `undefined` for a stream without its terminal marker.
 *
 * @param text Body of the answer.
 * @param mode Way in which it was answered.
 */
export function answerText(text: string, mode: SampleResult["mode"]): string | undefined {
    if (mode === "whole") {
        return (JSON.parse(text) as AnswerPart).choices[0].message?.content;
    }
    const events = text.split("\n\n").filter(event => event !== "").map(event => event.slice("data: ".length));
    if (events.pop() !== "[DONE]") {
        return undefined;
    }
    return events.map(event => (JSON.parse(event) as AnswerPart).choices[0].delta?.content ?? "").join("");
}
