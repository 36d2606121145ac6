/**
 * Frame of a case: parts, their end, the record and the exit code.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Whether the disruption happens; without it, the rule must hold. */
export const TROUBLE = process.env.TROUBLE !== "0";

/** Exit codes. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Time after which a case ends itself, in milliseconds. */
const LIMIT_MS = 115_000;

/** What a case has started and noted. */
export class Case {
    folder = mkdtempSync(join(tmpdir(), "review-"));
    #ends = [];
    #lines = [];

    /** Adds a function that ends a part; the last part ends first. */
    onEnd(end) {
        this.#ends.unshift(end);
    }

    note(line) {
        this.#lines.push(line);
        process.stdout.write(`${line}\n`);
    }

    async end() {
        for (const end of this.#ends) {
            await Promise.resolve(end()).catch(() => undefined);
        }
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Text of the record. */
    get text() {
        return `${this.#lines.join("\n")}\n`;
    }
}

/**
 * Runs a case, writes `record.txt` into its folder and exits.
 *
 * @param {string} url URL of the case's module.
 * @param {(current: Case) => Promise<boolean>} run Returns whether the rule was broken.
 */
export async function runCase(url, run) {
    const current = new Case();
    let code = NOT_RUN;
    current.note(`disruption: ${TROUBLE ? "yes" : "no"}`);
    const limit = new Promise((resolve, reject) => {
        setTimeout(() => reject(new Error("The case takes too long.")), LIMIT_MS).unref();
    });
    try {
        const isBroken = await Promise.race([run(current), limit]);
        current.note(isBroken ? "result: the rule was broken" : "result: the rule held");
        code = isBroken ? BROKEN : HELD;
    }
    catch (error) {
        current.note(`result: the case could not run: ${error.stack}`);
    }
    await current.end();
    writeFileSync(new URL("record.txt", url), current.text);
    process.exit(code);
}

/** Counts items by a text. */
export function countBy(items, textOf) {
    const counts = {};
    for (const item of items) {
        const text = textOf(item);
        counts[text] = (counts[text] ?? 0) + 1;
    }
    return JSON.stringify(counts);
}

/** Returns a configuration in the platform's format, with the limits of a small deployment; routes lead to the first service by default. */
export function makeConfiguration({ host, key, services, routes }) {
    return {
        Version: 7,
        Routes: routes.map((route, index) => ({
            Name: `r-${index + 1}`,
            Host: host,
            Service: services[0],
            Priority: index,
            Public: false,
            ...route,
        })),
        Services: services.map(name => ({ Name: name, HealthPath: "/health", MaxConnections: 370, Protocol: "h1", Tls: false })),
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{
            Name: "hule930",
            ApiKeys: [key],
            Priority: 1,
            Unit: "tokens",
            PlainTokens: 200,
            RatePerS: 0,
            Burst: 0,
        }],
    };
}
