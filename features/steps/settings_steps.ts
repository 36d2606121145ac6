/**
 * Steps about the daemon's settings files.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, parseDocument } from "yaml";
import { parseSettings, type Settings } from "../../src/daemon/mod.js";
import type { Scenario } from "../support/world.js";

/** Example settings; the reference in docs/OPERATIONS.md shows the same text. */
const EXAMPLE_FILE = "examples/entry-1.yaml";

/** Parsed settings, or the error of parsing them. */
interface ParseResult {
    readonly settings?: Settings;
    readonly error?: Error;
}

/** Exit code and output of a run of the daemon. */
interface CommandResult {
    readonly exitCode: number | undefined;
    readonly output: string;
}

const parseResults = new WeakMap<Scenario, ParseResult>();
const commandResults = new WeakMap<Scenario, CommandResult>();

When("valid settings are read", function(this: Scenario) {
    parseResults.set(this, tryParseSettings(readExample()));
});

When(/^settings are read in which "([^"]*)" is (.*)$/, function(this: Scenario, path: string, value: string) {
    parseResults.set(this, tryParseSettings(replaceSetting(readExample(), path, value)));
});

When(
    /^settings are read in which "([^"]*)" and "([^"]*)" are both invalid$/,
    function(this: Scenario, first: string, second: string) {
        parseResults.set(this, tryParseSettings(replaceSetting(replaceSetting(readExample(), first, '"?"'), second, '"?"')));
    },
);

When(/^the daemon checks a file that is (.*)$/, function(this: Scenario, state: string) {
    const directory = mkdtempSync(join(tmpdir(), "foxtailrail-settings-"));
    const file = join(directory, "entry.yaml");
    const text = readExample();
    const textByState: Readonly<Record<string, string | undefined>> = {
        valid: text,
        "not YAML": "node: [",
        invalid: replaceSetting(text, "node", '"?"'),
    };
    if (textByState[state] !== undefined) {
        writeFileSync(file, textByState[state]);
    }
    const result = spawnSync(process.execPath, ["dist/src/daemon/main.js", "--settings", file, "--check"], { encoding: "utf8" });
    commandResults.set(this, { exitCode: result.status ?? undefined, output: result.stdout + result.stderr });
    rmSync(directory, { recursive: true });
});

Then("the drain limit is {int} ms and the log level is {string}", function(this: Scenario, limitMs: number, logLevel: string) {
    const settings = parseResults.get(this)?.settings;
    assert.deepEqual([settings?.drain.limitMs, settings?.logLevel], [limitMs, logLevel]);
});

Then(/^the error names "([^"]*)", (.*) and "([^"]*)"$/, function(this: Scenario, path: string, shown: string, allowed: string) {
    const message = parseResults.get(this)?.error?.message ?? "";
    for (const expected of [`"${path}"`, shown.replace(/^"(.*)"$/, "$1"), allowed]) {
        assert.ok(message.includes(expected), `"${message}" does not contain ${expected}`);
    }
});

Then("the error names both", function(this: Scenario) {
    const message = parseResults.get(this)?.error?.message ?? "";
    assert.match(message, /"node"[^]*"listen.peers"/);
});

Then("it exits with {int} and says {string}", function(this: Scenario, code: number, text: string) {
    const run = commandResults.get(this);
    assert.equal(run?.exitCode, code, run?.output);
    assert.ok(run?.output.includes(text.replaceAll('\\"', '"')), run?.output);
});

function readExample(): string {
    return readFileSync(EXAMPLE_FILE, "utf8");
}

function tryParseSettings(text: string): ParseResult {
    try {
        return { settings: parseSettings(text, "entry.yaml") };
    }
    catch (error) {
        return { error: error as Error };
    }
}

/** Sets the value at a dotted path of a YAML text; the value `missing` deletes it. */
function replaceSetting(text: string, path: string, value: string): string {
    const document = parseDocument(text);
    const keys = path.split(".");
    if (value === "missing") {
        document.deleteIn(keys);
    }
    else {
        document.setIn(keys, parse(value));
    }
    return document.toString();
}
