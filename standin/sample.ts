/**
 * Sample calls to a local fleet, one per operation and answer mode.
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

/** Maximum number of output tokens of a sample call. */
const SAMPLE_MAX_TOKENS = 24;

/** Result of one sample call. */
export interface SampleResult {
    readonly tier: string;
    readonly operation: string;
    readonly node: string;
    readonly mode: "whole" | "streamed" | "service";
    readonly status: number;
    /** Whether the complete answer to this call was received. */
    readonly complete: boolean;
    /** Whether the complete answer arrived within its latency objective. */
    readonly metObjective: boolean;
    readonly answerMs: number;
}

/** Sample call to send. */
interface SampleCall {
    readonly operation: Operation;
    readonly mode: SampleResult["mode"];
    readonly node: string;
    readonly address: string;
    readonly key: string;
}

/**
 * Sends a call of each operation to the daemons in round-robin order, model operations both whole and streamed.
 *
 * @param fleet Fleet whose daemons are ready.
 * @param deployment Deployment of the fleet.
 */
export async function sendSample(fleet: LocalFleet, deployment: Deployment): Promise<readonly SampleResult[]> {
    const document = toDocument(deployment);
    const calls: SampleCall[] = [];
    for (const operation of document.operations) {
        for (const mode of modesOf(operation, document)) {
            const daemon = fleet.daemons[calls.length % fleet.daemons.length];
            const { key } = deployment.workspaces[calls.length % deployment.workspaces.length];
            calls.push({ operation, mode, node: daemon.node, address: daemon.callerAddress, key });
        }
    }
    return Promise.all(calls.map(sendCall));
}

/** Formats the results as a table, followed by the goodput of each tier. */
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
        const metCount = ofTier.filter(result => result.metObjective).length;
        return [tier, String(ofTier.length), String(metCount), `${Math.round(100 * metCount / ofTier.length)}%`];
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
    const { mode, operation } = call;
    const [route] = operation.routes;
    const body = Buffer.from(JSON.stringify(
        mode === "service" ? { sample: true } : {
            model: "default",
            stream: mode === "streamed",
            max_tokens: SAMPLE_MAX_TOKENS,
            messages: [{ role: "user", content: `Sample of ${operation.name}, ${mode}, ${randomUUID()}.` }],
        },
    ));
    const path = mode === "service" ? `/v1/services/${route.service}${route.pathPrefix}` : "/v1/chat/completions";
    const method = mode === "service" ? route.method : "POST";
    if (mode !== "service") {
        headers["foxtailrail-operation"] = operation.name;
    }
    const sentBody = method === "GET" ? undefined : body;
    const response = await request(`http://${call.address}${path}`, { method: method as "POST", headers, body: sentBody });
    const text = await response.body.text();
    const answerMs = performance.now() - startMs;
    const complete = response.statusCode === 200 && (mode === "service" || answerText(text, mode) === expectedAnswer(body));
    const metObjective = complete && answerMs <= operation.promise.answerMs;
    return {
        tier: operation.tier,
        operation: operation.name,
        node: call.node,
        mode,
        status: response.statusCode,
        complete,
        metObjective,
        answerMs,
    };
}

/** Fields of an answer or a stream event that the sample reads. */
interface AnswerPart {
    readonly choices: readonly {
        readonly message?: { readonly content: string };
        readonly delta?: { readonly content?: string };
    }[];
}

/**
 * Returns the text of an answer, or `undefined` for a stream without its terminal marker.
 *
 * @param text Body of the answer.
 * @param mode Answer mode of the call.
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
