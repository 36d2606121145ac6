/**
 * Commands `foxtailrail config`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { parseDocument, stringify } from "yaml";
import { checkDocument } from "../protocol/mod.js";
import type { ConfigurationDocument } from "../state/mod.js";
import { diffDocuments } from "./document_diff.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";

/** Shows the configuration in force. */
export class ConfigShowCommand extends OperatorCommand {
    static override paths = [["config", "show"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Shows the configuration in force as YAML.",
        examples: [["Save the configuration", "foxtailrail config show > fleet.yaml"]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version, document } = await readCurrent(client);
        this.print({ version, document }, `# version ${version}\n${stringify(document)}`);
        return ExitCode.Done;
    }
}

/** Shows what a file would change. */
export class ConfigDiffCommand extends OperatorCommand {
    static override paths = [["config", "diff"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Shows what applying a file would change.",
        examples: [["Compare a file", "foxtailrail config diff fleet.yaml"]],
    });
    file = Option.String({ name: "FILE" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const next = await readDocument(this.file);
        const current = await readCurrent(client);
        const changes = diffDocuments(current.document, next);
        this.print({ version: current.version, changes }, changes.map(change => `${change.text}\n`).join("") || "No change.\n");
        return ExitCode.Done;
    }
}

/** Publishes a file as the new configuration. */
export class ConfigApplyCommand extends OperatorCommand {
    static override paths = [["config", "apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Checks a file and publishes it as the new configuration.",
        details: "The change is refused with exit code 1 when another operator's change came first.",
        examples: [
            ["Apply a file to the version in force now", "foxtailrail config apply fleet.yaml"],
            ["Apply a file made against version 12", "foxtailrail config apply fleet.yaml --made-against 12"],
        ],
    });
    file = Option.String({ name: "FILE" });
    madeAgainst = Option.String("--made-against", {
        description: "Version that the file was made against. Defaults to the one in force.",
    });
    author = Option.String("--author", userInfo().username, { description: "Name put on record. Defaults to the user's." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const document = await readDocument(this.file);
        const madeAgainst = this.madeAgainst === undefined ?
            (await client.readConfiguration()).version :
            Number(this.madeAgainst);
        if (!Number.isInteger(madeAgainst)) {
            throw new UsageError(`Option --made-against is "${this.madeAgainst}"; give a whole number.`);
        }
        const reply = await client.changeConfiguration({ madeAgainst, document: JSON.stringify(document), author: this.author });
        if (!reply.accepted) {
            this.context.stderr.write(`Cannot apply ${this.file}: ${reply.problems.join("\n  ")}\n`);
            return ExitCode.Refused;
        }
        this.print({ version: reply.version }, `Version ${reply.version} is in the log and in force on this node.\n`);
        return ExitCode.Done;
    }
}

/** Configuration in force as read from a daemon. */
interface CurrentConfiguration {
    readonly version: number;
    readonly document: ConfigurationDocument;
}

async function readCurrent(client: OperatorClient): Promise<CurrentConfiguration> {
    const { version, document } = await client.readConfiguration();
    return { version, document: JSON.parse(document) as ConfigurationDocument };
}

async function readDocument(file: string): Promise<ConfigurationDocument> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        throw new UsageError(`Cannot read "${file}": ${(error as Error).message}.`);
    }
    const parsed = parseDocument(text);
    if (parsed.errors.length > 0) {
        throw new UsageError(`Cannot read "${file}": ${parsed.errors.map(error => error.message).join("\n")}`);
    }
    const checked = checkDocument(parsed.toJS());
    if (checked.problems !== undefined) {
        throw new UsageError(`Cannot use "${file}":\n  ${checked.problems.join("\n  ")}`);
    }
    return checked.document;
}
