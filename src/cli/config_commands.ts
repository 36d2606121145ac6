/**
 * Commands `foxtailrail config`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { readFile } from "node:fs/promises";
import { parseDocument, stringify } from "yaml";
import { checkDocument } from "../protocol/mod.js";
import {
    changesBetween,
    type ConfigurationDocument,
    diffDocuments,
    explainPath,
    parseExceptionPath,
    type ValueSource,
} from "../state/mod.js";
import { ConfigurationChangeCommand, ConfigurationCommand } from "./configuration_command.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode } from "./operator_command.js";

/** Shows the configuration. */
export class ConfigShowCommand extends ConfigurationCommand {
    static override paths = [["config", "show"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Shows the configuration as YAML: the defaults and the exceptions.",
        examples: [["Save the configuration", "foxtailrail config show > fleet.yaml"]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version, document } = await this.readCurrent(client);
        this.print({ version, document }, `# version ${version}\n${stringify(document)}`);
        return ExitCode.Success;
    }
}

/** Shows the changes that a file would make. */
export class ConfigDiffCommand extends ConfigurationCommand {
    static override paths = [["config", "diff"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Shows what applying a file would change.",
        details: "If the file has no list of exceptions, the exceptions stay unchanged.",
        examples: [["Compare a file", "foxtailrail config diff fleet.yaml"]],
    });
    file = Option.String({ name: "FILE" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const current = await this.readCurrent(client);
        const next = await readDocument(this.file, current.document);
        const changes = diffDocuments(current.document, next);
        this.print({ version: current.version, changes }, changes.map(change => `${change.text}\n`).join("") || "No change.\n");
        return ExitCode.Success;
    }
}

/** Publishes the changes that a file makes. */
export class ConfigApplyCommand extends ConfigurationChangeCommand {
    static override paths = [["config", "apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Validates a file and publishes its changes atomically.",
        details: `
            If another operator's change came first, this one is refused with exit code 5, and the other change is printed.
            If the file has no list of exceptions, the exceptions stay unchanged.
        `,
        examples: [
            ["Apply a file to the current version", "foxtailrail config apply fleet.yaml"],
            ["Apply a file that is based on version 12", "foxtailrail config apply fleet.yaml --made-against 12"],
        ],
    });
    file = Option.String({ name: "FILE" });
    madeAgainst = Option.String("--made-against", {
        description: "Configuration version that the file is based on. Defaults to the current version.",
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const current = await this.readCurrent(client);
        const madeAgainst = Number(this.madeAgainst ?? current.version);
        if (!Number.isInteger(madeAgainst)) {
            throw new UsageError(`Option --made-against is "${this.madeAgainst}"; give a whole number.`);
        }
        const next = await readDocument(this.file, current.document);
        return this.submit(client, madeAgainst, changesBetween(current.document, next));
    }
}

/** Shows the effective value of a path and its sources. */
export class ConfigExplainCommand extends ConfigurationCommand {
    static override paths = [["config", "explain"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Shows the effective value of a path and its sources.",
        details:
            "An exception for one workspace takes precedence over one for all workspaces, which takes precedence over the default.",
        examples: [
            ["Explain a promise", "foxtailrail config explain operations/claim-filing/promise/answerMs"],
            [
                "Explain a promise for one workspace",
                "foxtailrail config explain workspaces/pilot/operations/claim-filing/promise/answerMs",
            ],
        ],
    });
    valuePath = Option.String({ name: "PATH" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        if (parseExceptionPath(this.valuePath) === undefined) {
            throw new UsageError(
                `"${this.valuePath}" is not a path; give LIST/NAME/FIELD or workspaces/NAME/operations/NAME/FIELD, such as operations/claim-filing/promise/answerMs.`,
            );
        }
        const { version, document, nowMs } = await this.readCurrent(client);
        const explanation = explainPath(document, this.valuePath, nowMs);
        if (explanation.effective === undefined) {
            this.context.stderr.write(`Cannot explain "${this.valuePath}": version ${version} has no value there.\n`);
            return ExitCode.Refused;
        }
        const { effective, sources } = explanation;
        const lines = sources.map(source => `${source === effective ? "*" : " "} ${describeSource(source)}\n`);
        const text = `${this.valuePath} is ${JSON.stringify(effective.value)} in version ${version}:\n${lines.join("")}`;
        this.print({ version, path: this.valuePath, value: effective.value, sources }, text);
        return ExitCode.Success;
    }
}

function describeSource({ path, value, exception, expired }: ValueSource): string {
    if (exception === undefined) {
        return `default ${path} = ${JSON.stringify(value)}`;
    }
    const end = exception.endsAtMs === undefined ? "no end" : `${expired ? "ended" : "ends"} ${toIsoTime(exception.endsAtMs)}`;
    const made = `by ${exception.author} on ${toIsoTime(exception.madeAtMs)}`;
    return `${expired ? "expired exception" : "exception"} ${path} = ${
        JSON.stringify(value)
    }, ${made}, ${end}: ${exception.reason}`;
}

function toIsoTime(ms: number): string {
    return new Date(ms).toISOString();
}

/** Reads and validates a file; if it has no list of exceptions, the current exceptions are kept. */
async function readDocument(file: string, current: ConfigurationDocument): Promise<ConfigurationDocument> {
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
    const value: unknown = parsed.toJS();
    const withExceptions = typeof value === "object" && value ? { exceptions: current.exceptions, ...value } : value;
    const checked = checkDocument(withExceptions);
    if (checked.problems !== undefined) {
        throw new UsageError(`Cannot use "${file}":\n  ${checked.problems.join("\n  ")}`);
    }
    return checked.document;
}
