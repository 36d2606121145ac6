/**
 * Commands `foxtailrail exception`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { ChangeKind, type ConfigurationException, type ExceptionValue, isExpired, ItemList } from "../state/mod.js";
import { ConfigurationChangeCommand, ConfigurationCommand } from "./configuration_command.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Matches a duration, such as `90m`. */
const DURATION_PATTERN = /^(\d+)([smhd])$/;

/** Milliseconds in each unit of a duration. */
const UNIT_MS: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Adds an exception. */
export class ExceptionAddCommand extends ConfigurationChangeCommand {
    static override paths = [["exception", "add"]];
    static override usage = Command.Usage({
        category: "Exceptions",
        description: "Overrides one value of the configuration and records the reason.",
        details: "The owner of the operator's key is recorded as the author. Each path has at most one exception.",
        examples: [
            [
                "Relax a latency objective of one workspace for two days",
                'foxtailrail exception add workspaces/pilot/operations/claim-filing/promise/answerMs 20000 --reason "slow institute, ticket 812" --for 2d',
            ],
            [
                "Move an operation to another tier until a given time",
                'foxtailrail exception add operations/eligibility-flag/tier desk --reason "triage week" --until 2026-12-24T18:00:00Z',
            ],
        ],
    });
    valuePath = Option.String({ name: "PATH" });
    value = Option.String({ name: "VALUE" });
    reason = Option.String("--reason", { description: "Reason for the exception. Required." });
    until = Option.String("--until", {
        description: "Time at which the exception expires, such as 2026-12-24T18:00:00Z. Defaults to no expiry.",
    });
    duration = Option.String("--for", { description: "Duration after which the exception expires, such as 90m, 2h or 3d." });
    replace = Option.Boolean("--replace", false, { description: "Replace an unexpired exception of the same path." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        if (this.reason === undefined || this.reason.trim() === "") {
            throw new UsageError("Option --reason is missing; give a reason for the exception.");
        }
        const { version, document, nowMs } = await this.readCurrent(client);
        const existing = document.exceptions.find(exception => exception.path === this.valuePath);
        if (existing !== undefined && !isExpired(existing, nowMs) && !this.replace) {
            this.context.stderr.write(
                `Cannot add exception: ${existing.author} already added one for "${this.valuePath}" ("${existing.reason}"); give --replace to replace it.\n`,
            );
            return ExitCode.Refused;
        }
        const endsAtMs = this.endsAtMs(nowMs);
        const item: ConfigurationException = {
            path: this.valuePath,
            value: parseValue(this.value),
            reason: this.reason,
            // The daemon fills in the owner of the key and its own time.
            author: "",
            madeAtMs: 0,
            ...(endsAtMs === undefined ? {} : { endsAtMs }),
        };
        return this.submit(client, version, [{ kind: ChangeKind.Set, list: ItemList.Exceptions, item }]);
    }

    /** Resolves `--until` or `--for` to the time of expiry, in milliseconds since the Unix epoch. */
    private endsAtMs(nowMs: number): number | undefined {
        if (this.until !== undefined && this.duration !== undefined) {
            throw new UsageError("Options --until and --for cannot be combined; give one of them.");
        }
        if (this.duration !== undefined) {
            const [, count, unit] = DURATION_PATTERN.exec(this.duration) ?? [];
            if (count === undefined) {
                throw new UsageError(`Option --for is "${this.duration}"; give a number and s, m, h or d, such as 2h.`);
            }
            return nowMs + Number(count) * UNIT_MS[unit];
        }
        if (this.until === undefined) {
            return undefined;
        }
        const endsAtMs = Date.parse(this.until);
        if (!(endsAtMs > nowMs)) {
            throw new UsageError(`Option --until is "${this.until}"; give a time in the future, such as 2026-12-24T18:00:00Z.`);
        }
        return endsAtMs;
    }
}

/** Lists the exceptions. */
export class ExceptionListCommand extends ConfigurationCommand {
    static override paths = [["exception", "list"]];
    static override usage = Command.Usage({
        category: "Exceptions",
        description: "Lists the exceptions. Expired exceptions are marked and have no effect.",
        examples: [["List the exceptions", "foxtailrail exception list"], [
            "List them as JSON",
            "foxtailrail exception list --json",
        ]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version, document, nowMs } = await this.readCurrent(client);
        const exceptions = document.exceptions.map(exception => ({ ...exception, expired: isExpired(exception, nowMs) }));
        const rows = exceptions.map(({ path, value, author, madeAtMs, endsAtMs, expired, reason }) => [
            path,
            JSON.stringify(value),
            author,
            new Date(madeAtMs).toISOString(),
            endsAtMs === undefined ? "none" : new Date(endsAtMs).toISOString(),
            expired ? "expired" : "in force",
            reason,
        ]);
        const table = formatTable(["PATH", "VALUE", "AUTHOR", "MADE", "END", "STATE", "REASON"], rows);
        this.print({ version, exceptions }, rows.length === 0 ? "There are no exceptions.\n" : table);
        return ExitCode.Success;
    }
}

/** Removes an exception. */
export class ExceptionRemoveCommand extends ConfigurationChangeCommand {
    static override paths = [["exception", "remove"]];
    static override usage = Command.Usage({
        category: "Exceptions",
        description: "Removes an exception, so that the default applies again.",
        examples: [["Remove an exception", "foxtailrail exception remove operations/eligibility-flag/tier"]],
    });
    valuePath = Option.String({ name: "PATH" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { version } = await this.readCurrent(client);
        return this.submit(client, version, [{ kind: ChangeKind.Remove, list: ItemList.Exceptions, key: this.valuePath }]);
    }
}

/** Parses a number or a boolean; any other text stays a string. */
function parseValue(text: string): ExceptionValue {
    if (text === "true" || text === "false") {
        return text === "true";
    }
    return text.trim() !== "" && Number.isFinite(Number(text)) ? Number(text) : text;
}
