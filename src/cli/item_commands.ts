/**
 * Commands `foxtailrail workspace` and `foxtailrail tier`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { ChangeKind, indexItems, ItemList } from "../state/mod.js";
import { ConfigurationChangeCommand, ConfigurationCommand } from "./configuration_command.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Minimum length of a workspace's key, in characters. */
const MIN_WORKSPACE_KEY_LENGTH = 16;

/** Lists the workspaces. */
export class WorkspaceListCommand extends ConfigurationCommand {
    static override paths = [["workspace", "list"]];
    static override usage = Command.Usage({
        category: "Workspaces",
        description: "Lists the workspaces with the hashes of their keys.",
        examples: [["List the workspaces", "foxtailrail workspace list"]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version, document: { workspaces } } = await this.readCurrent(client);
        const rows = workspaces.map(workspace => [workspace.name, workspace.keyHash]);
        this.print({ version, workspaces }, formatTable(["WORKSPACE", "KEY HASH"], rows));
        return ExitCode.Success;
    }
}

/** Adds a workspace. */
export class WorkspaceAddCommand extends ConfigurationChangeCommand {
    static override paths = [["workspace", "add"]];
    static override usage = Command.Usage({
        category: "Workspaces",
        description: "Adds a workspace, or replaces the key of an existing one.",
        details: "The key is read from a file; only its SHA-256 hash is sent.",
        examples: [
            ["Add a workspace", "foxtailrail workspace add heirs-desk --workspace-key-file heirs-desk.key"],
            ["Replace its key", "foxtailrail workspace add heirs-desk --workspace-key-file new.key --replace"],
        ],
    });
    name = Option.String({ name: "NAME" });
    workspaceKeyFile = Option.String("--workspace-key-file", {
        required: true,
        description: "File that holds the workspace's key.",
    });
    replace = Option.Boolean("--replace", false, { description: "Replace the key of an existing workspace." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const keyHash = createHash("sha256").update(await readWorkspaceKey(this.workspaceKeyFile)).digest("hex");
        const { version, document } = await this.readCurrent(client);
        const existing = indexItems(document.workspaces).get(this.name);
        if (existing !== undefined && !this.replace) {
            this.context.stderr.write(`Cannot add workspace: "${this.name}" exists; give --replace to change its key.\n`);
            return ExitCode.Refused;
        }
        const item = { ...existing, name: this.name, keyHash };
        return this.submit(client, version, [{ kind: ChangeKind.Set, list: ItemList.Workspaces, item }]);
    }
}

/** Removes a workspace. */
export class WorkspaceRemoveCommand extends ConfigurationChangeCommand {
    static override paths = [["workspace", "remove"]];
    static override usage = Command.Usage({
        category: "Workspaces",
        description: "Removes a workspace; its calls are refused afterwards.",
        examples: [["Remove a workspace", "foxtailrail workspace remove pilot"]],
    });
    name = Option.String({ name: "NAME" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version } = await this.readCurrent(client);
        return this.submit(client, version, [{ kind: ChangeKind.Remove, list: ItemList.Workspaces, key: this.name }]);
    }
}

/** Lists the tiers. */
export class TierListCommand extends ConfigurationCommand {
    static override paths = [["tier", "list"]];
    static override usage = Command.Usage({
        category: "Tiers",
        description: "Lists the tiers in order of priority, the highest first.",
        examples: [["List the tiers", "foxtailrail tier list"]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version, document } = await this.readCurrent(client);
        const tiers = [...document.tiers].sort((left, right) => left.rank - right.rank);
        const rows = tiers.map(tier => [tier.name, String(tier.rank)]);
        this.print({ version, tiers }, formatTable(["TIER", "RANK"], rows));
        return ExitCode.Success;
    }
}

/** Adds a tier or changes its rank. */
export class TierSetCommand extends ConfigurationChangeCommand {
    static override paths = [["tier", "set"]];
    static override usage = Command.Usage({
        category: "Tiers",
        description: "Adds a tier, or changes the rank of an existing one. Rank 0 has the highest priority.",
        examples: [["Set the rank of a tier", "foxtailrail tier set batch 3"]],
    });
    name = Option.String({ name: "NAME" });
    rank = Option.String({ name: "RANK" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const rank = Number(this.rank);
        if (!Number.isInteger(rank)) {
            throw new UsageError(`Rank is "${this.rank}"; give a whole number from 0 to 15.`);
        }
        const { version, document } = await this.readCurrent(client);
        const item = { ...indexItems(document.tiers).get(this.name), name: this.name, rank };
        return this.submit(client, version, [{ kind: ChangeKind.Set, list: ItemList.Tiers, item }]);
    }
}

async function readWorkspaceKey(file: string): Promise<string> {
    let key: string;
    try {
        key = (await readFile(file, "utf8")).trim();
    }
    catch (error) {
        throw new UsageError(`Cannot read key file "${file}": ${(error as Error).message}.`);
    }
    if (key.length < MIN_WORKSPACE_KEY_LENGTH) {
        throw new UsageError(`The key in "${file}" has ${key.length} characters; give at least ${MIN_WORKSPACE_KEY_LENGTH}.`);
    }
    return key;
}
