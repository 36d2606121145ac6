/**
 * Steps about the operators' command line, run as a process.
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

/** Program of the command line. */
const CLI_PROGRAM = fileURLToPath(new URL("../../src/cli/main.js", import.meta.url));

/** Key that the operator side knows. */
const OPERATOR_KEY = "ana-key";

/** What a command ended with. */
interface CommandResult {
    readonly exitCode: number;
    readonly output: string;
}

/** Ends of the commands by scenario. */
const results = new WeakMap<Scenario, CommandResult>();

Given("nothing else", function() {
    // The row needs no further state.
});

Given("the log being down", function(this: Scenario) {
    this.fleet.log.faults.down = true;
});

When(/^an operator runs "([^"]*)" with (their key|wrong-key)$/, async function(this: Scenario, command: string, key: string) {
    const folder = await mkdtemp(join(tmpdir(), "foxtailrail-command-"));
    try {
        await writeFile(join(folder, "operator.key"), key === "their key" ? OPERATOR_KEY : key);
        const document = { ...this.fleet.document, tiers: this.fleet.document.tiers.map(tier => ({ ...tier, rank: 1 })) };
        await writeFile(join(folder, "older.yaml"), JSON.stringify(document));
        results.set(this, await runCommand(this, folder, command.split(" ")));
    }
    finally {
        await rm(folder, { recursive: true });
    }
});

Then("the command ends with exit code {int} and says {string}", function(this: Scenario, code: number, text: string) {
    const end = results.get(this);
    assert.equal(end?.exitCode, code, end?.output);
    assert.ok(end?.output.includes(text), end?.output);
});

/** Runs a command, and moves the fleet's clock while it runs. */
async function runCommand(scenario: Scenario, folder: string, args: readonly string[]): Promise<CommandResult> {
    const environment = {
        ...process.env,
        FOXTAILRAIL_ADDRESS: operatorServerOf(scenario).address,
        FOXTAILRAIL_KEY_FILE: join(folder, "operator.key"),
    };
    let end: CommandResult | undefined;
    const child = execFile(
        process.execPath,
        [CLI_PROGRAM, ...args],
        { cwd: folder, env: environment },
        (error, stdout, stderr) => {
            end = { exitCode: child.exitCode ?? -1, output: stdout + stderr };
        },
    );
    while (end === undefined) {
        await scenario.fleet.clock.advance(10);
        await sleep(1);
    }
    return end;
}
