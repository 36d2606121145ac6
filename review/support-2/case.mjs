// Frame of a case: time limit, record, exit code, and the end of all that it started.

import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Longest time that a case may take, in milliseconds. */
const LIMIT_MS = 115_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Whether the disruption is played. */
export const isTroubled = process.env.TROUBLE !== "0";

/**
 * Runs a case: writes `record.txt` beside it and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param moduleUrl URL of the case's module.
 * @param play Plays the case with `{ note, started }`; `note` writes a line, `started` takes a part with `end` or `close` or `stop`.
 *     Returns whether the rule was broken.
 */
export async function runCase(moduleUrl, play) {
    const startMs = performance.now();
    const lines = [`trouble: ${isTroubled}`];
    const parts = [];
    const note = text => {
        const line = `${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} ${text}`;
        lines.push(line);
        process.stdout.write(`${line}\n`);
    };
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => process.exit(2));
    }
    let code = 2;
    let timer;
    try {
        const limit = new Promise((resolve, reject) => {
            timer = setTimeout(() => reject(new Error(`not ended after ${LIMIT_MS} ms`)), LIMIT_MS);
        });
        const isBroken = await Promise.race([play({ note, started: part => parts.push(part) }), limit]);
        code = isBroken ? 1 : 0;
    }
    catch (error) {
        note(`could not run: ${error.stack}`);
    }
    clearTimeout(timer);
    for (const part of parts.reverse()) {
        await (part.end ?? part.stop ?? part.close).call(part);
    }
    note(`exit ${code}: ${["the rule held", "the rule was broken", "the case could not run"][code]}`);
    writeFileSync(join(dirname(fileURLToPath(moduleUrl)), "record.txt"), `${lines.join("\n")}\n`);
    process.exit(code);
}

/** Counts equal texts, most frequent first. */
export function tally(texts) {
    const counts = new Map();
    for (const text of texts) {
        counts.set(text, (counts.get(text) ?? 0) + 1);
    }
    return [...counts].sort((left, right) => right[1] - left[1]).map(([text, count]) => `${text}: ${count}`).join(", ");
}

/** Returns the text of how a request ended for its caller. */
export function outcomeOf({ status, isWhole, error }) {
    if (status === 0) {
        return error ?? "no answer";
    }
    return isWhole ? String(status) : `${status}, cut`;
}

/** Configuration with one route and one service, as on the platform's pages. */
export function makeConfiguration(route, service) {
    return {
        Version: 1,
        Routes: [{ Name: "route", Host: HOST, PathPrefix: "/path/", Priority: 0, Service: service.Name, Public: false, ...route }],
        Services: [{ HealthPath: "/health", Protocol: "h1", Tls: false, ...service }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: "tenant", ApiKeys: [KEY], Priority: 0 }],
    };
}

export const HOST = "calls.example";
export const KEY = "key-of-tenant";
