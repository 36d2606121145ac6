/**
 * Command `foxtailrail request list`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Milliseconds in each unit of a time span. */
const UNIT_MS: Readonly<Record<string, number>> = { m: 60_000, h: 3_600_000 };

/** Maximum time to look back, in milliseconds. */
const MAX_LOOKBACK_MS = 24 * 3_600_000;

/** Lists run-once calls without a recorded outcome. */
export class RequestListCommand extends OperatorCommand {
    static override paths = [["request", "list"]];
    static override usage = Command.Usage({
        category: "Requests",
        description: "Lists calls that were claimed and have no recorded outcome.",
        details: "See docs/operating/run_once.md for how to resolve them.",
        examples: [["List the calls of the last two hours", "foxtailrail request list --unknown --since 2h"]],
    });
    unknown = Option.Boolean("--unknown", false, {
        description: "List calls whose outcome is unknown. Required, since there is no other list yet.",
    });
    since = Option.String("--since", "1h", { description: "Time to look back, such as 30m or 24h. Defaults to 1h." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        if (!this.unknown) {
            throw new UsageError("Option --unknown is missing; it is required.");
        }
        const reply = await client.listUnknown({ sinceMs: parseSince(this.since) });
        const rows = reply.calls.map(call => [
            new Date(call.atMs).toISOString(),
            call.workspace,
            call.key,
            call.operation,
            call.node,
            call.attempt,
        ]);
        this.print(reply, formatTable(["CLAIMED", "WORKSPACE", "KEY", "OPERATION", "NODE", "CALL"], rows));
        return ExitCode.Success;
    }
}

function parseSince(text: string): number {
    const [, count, unit = ""] = /^(\d{1,4})([mh])$/.exec(text) ?? [];
    const sinceMs = Number(count) * UNIT_MS[unit];
    if (!(sinceMs > 0 && sinceMs <= MAX_LOOKBACK_MS)) {
        throw new UsageError(`Option --since is "${text}". Give minutes or hours up to one day, such as 30m or 24h.`);
    }
    return sinceMs;
}
