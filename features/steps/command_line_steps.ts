/**
 * Steps for the operators' command line, run as a child process.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { operatorServerOf } from "../support/operator_server.js";
import type { Scenario } from "../support/world.js";

/** Entry point of the command line. */
const CLI_PROGRAM = fileURLToPath(new URL("../../src/cli/main.js", import.meta.url));

/** Key that the operator services accept. */
const OPERATOR_KEY = "ana-key";

/** Exit code and output of a command. */
interface CommandResult {
    readonly exitCode: number;
    readonly output: string;
}

/** Results of the commands by scenario. */
const results = new WeakMap<Scenario, CommandResult>();

Given("no other state", function() {
    // The background is all that the example needs.
});

Given("the log being unavailable", function(this: Scenario) {
    this.fleet.log.faults.down = true;
});

When(/^an operator runs "([^"]*)" with (a valid key|wrong-key)$/, async function(this: Scenario, command: string, key: string) {
    const folder = await mkdtemp(join(tmpdir(), "foxtailrail-command-"));
    try {
        await writeFile(join(folder, "operator.key"), key === "a valid key" ? OPERATOR_KEY : key);
        const document = { ...this.fleet.document, tiers: this.fleet.document.tiers.map(tier => ({ ...tier, rank: 1 })) };
        await writeFile(join(folder, "older.yaml"), JSON.stringify(document));
        results.set(this, await runCommand(this, folder, command.split(" ")));
    }
    finally {
        await rm(folder, { recursive: true });
    }
});

Then("the command exits with code {int} and prints {string}", function(this: Scenario, code: number, text: string) {
    const result = results.get(this);
    assert.equal(result?.exitCode, code, result?.output);
    assert.ok(result?.output.includes(text), result?.output);
});

/** Runs a command, and advances the fleet's virtual clock until it exits. */
async function runCommand(scenario: Scenario, folder: string, args: readonly string[]): Promise<CommandResult> {
    const environment = {
        ...process.env,
        FOXTAILRAIL_ADDRESS: operatorServerOf(scenario).address,
        FOXTAILRAIL_KEY_FILE: join(folder, "operator.key"),
    };
    let result: CommandResult | undefined;
    const child = execFile(
        process.execPath,
        [CLI_PROGRAM, ...args],
        { cwd: folder, env: environment },
        (error, stdout, stderr) => {
            result = { exitCode: child.exitCode ?? -1, output: stdout + stderr };
        },
    );
    while (result === undefined) {
        await scenario.fleet.clock.advance(10);
        await sleep(1);
    }
    return result;
}
