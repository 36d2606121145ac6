/**
 * Commands `foxtailrail rollout`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { setTimeout as sleep } from "node:timers/promises";
import { rolloutWire } from "../protocol/mod.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Category of the commands in the help. */
const CATEGORY = "Rollouts";

/** Interval at which `rollout watch` polls the daemon, in milliseconds. */
const WATCH_POLL_INTERVAL_MS = 1_000;

/** Milliseconds in each unit of a relative deadline. */
const UNIT_MS: Readonly<Record<string, number>> = { m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Base class of the rollout commands. */
abstract class RolloutCommand extends OperatorCommand {
    /** Prints the reply to a change and returns the exit code. */
    protected printReply(reply: rolloutWire.ChangeRolloutReply, resultText: string): ExitCode {
        const text = reply.accepted ?
            `Rollout ${reply.rollout} ${resultText}.\n` :
            reply.problems.map(each => `${each}\n`).join("");
        this.print(reply, text);
        return reply.accepted ? ExitCode.Success : ExitCode.Refused;
    }
}

/** Starts a rollout. */
export class RolloutStartCommand extends RolloutCommand {
    static override paths = [["rollout", "start"]];
    static override usage = Command.Usage({
        category: CATEGORY,
        description: "Starts a rollout that shifts a pool's traffic to a new version by a deadline.",
        details: "The deadline is a time such as 2026-12-03T18:00:00Z, or relative to now, such as 90m, 4h or 2d.",
        examples: [[
            "Roll out a version within four hours",
            "foxtailrail rollout start --pool language-model --version 2.4 --deadline 4h",
        ]],
    });
    pool = Option.String("--pool", { required: true, description: "Pool whose traffic is shifted." });
    version = Option.String("--version", {
        required: true,
        description: "Version to roll out, as reported by the backend servers.",
    });
    deadline = Option.String("--deadline", {
        required: true,
        description: "Time by which all traffic must use the new version.",
    });
    servers = Option.String("--servers", "0", {
        description: "Backend servers that must run the new version first. Defaults to the number that run the old one.",
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const neededServers = Number(this.servers);
        if (!Number.isInteger(neededServers) || neededServers < 0) {
            throw new UsageError(`Option --servers is "${this.servers}"; give a whole number from 0.`);
        }
        const { pool, version } = this;
        const reply = await client.startRollout({
            pool,
            version,
            neededServers,
            author: "",
            deadlineMs: parseDeadline(this.deadline),
        });
        return this.printReply(reply, "was started");
    }
}

/** Base class of the commands that change one rollout. */
abstract class RolloutChangeCommand extends RolloutCommand {
    rollout = Option.String({ name: "ROLLOUT" });
    reason = Option.String("--reason", "", { description: "Reason, recorded in the log." });
    revision = Option.String("--revision", "-1", {
        description: "Revision that a resume is based on. Defaults to the current one.",
    });
    protected abstract readonly order: rolloutWire.RolloutOrder;
    protected abstract readonly resultText: string;

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { rollout, reason, order } = this;
        const madeAgainst = Number(this.revision);
        if (!Number.isInteger(madeAgainst)) {
            throw new UsageError(`Option --revision is "${this.revision}"; give a whole number.`);
        }
        return this.printReply(await client.changeRollout({ rollout, reason, order, author: "", madeAgainst }), this.resultText);
    }
}

/** Pauses a rollout. */
export class RolloutPauseCommand extends RolloutChangeCommand {
    static override paths = [["rollout", "pause"]];
    static override usage = Command.Usage({
        category: CATEGORY,
        description: "Pauses a rollout at its current share of traffic.",
    });
    protected override readonly order = rolloutWire.RolloutOrder.PAUSE;
    protected override readonly resultText = "is paused";
}

/** Resumes a rollout. */
export class RolloutResumeCommand extends RolloutChangeCommand {
    static override paths = [["rollout", "resume"]];
    static override usage = Command.Usage({ category: CATEGORY, description: "Resumes a paused rollout." });
    protected override readonly order = rolloutWire.RolloutOrder.RESUME;
    protected override readonly resultText = "goes on";
}

/** Rolls a rollout back. */
export class RolloutRollbackCommand extends RolloutChangeCommand {
    static override paths = [["rollout", "rollback"]];
    static override usage = Command.Usage({
        category: CATEGORY,
        description: "Rolls a version back permanently.",
        examples: [["Roll a version back", "foxtailrail rollout rollback entry-1-m3x-1 --reason 'wrong totals on receipts'"]],
    });
    protected override readonly order = rolloutWire.RolloutOrder.ROLL_BACK;
    protected override readonly resultText = "was rolled back";
}

/** Lists rollouts. */
export class RolloutListCommand extends RolloutCommand {
    static override paths = [["rollout", "list"]];
    static override usage = Command.Usage({ category: CATEGORY, description: "Lists all rollouts." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const { rollouts } = await client.listRollouts();
        const rows = rollouts.map(each => [
            each.id,
            each.pool,
            each.version,
            each.phase,
            formatShare(each.share),
            new Date(each.deadlineMs).toISOString(),
            each.author,
        ]);
        this.print(rollouts, formatTable(["ROLLOUT", "POOL", "VERSION", "PHASE", "SHARE", "DEADLINE", "AUTHOR"], rows));
        return ExitCode.Success;
    }
}

/** Shows one rollout. */
export class RolloutShowCommand extends RolloutCommand {
    static override paths = [["rollout", "show"]];
    static override usage = Command.Usage({ category: CATEGORY, description: "Shows the state and evidence of one rollout." });
    rollout = Option.String({ name: "ROLLOUT" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const [found] = (await client.listRollouts(this.rollout)).rollouts;
        if (found === undefined) {
            this.context.stderr.write(`No rollout has the id "${this.rollout}"; see "foxtailrail rollout list".\n`);
            return ExitCode.Refused;
        }
        this.print(found, formatRollout(found));
        return ExitCode.Success;
    }
}

/** Prints the progress of one rollout until it ends. */
export class RolloutWatchCommand extends RolloutCommand {
    static override paths = [["rollout", "watch"]];
    static override usage = Command.Usage({ category: CATEGORY, description: "Prints a rollout's progress until it ends." });
    rollout = Option.String({ name: "ROLLOUT" });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        let last = "";
        for (;;) {
            const [found] = (await client.listRollouts(this.rollout)).rollouts;
            if (found === undefined) {
                this.context.stderr.write(`No rollout has the id "${this.rollout}"; see "foxtailrail rollout list".\n`);
                return ExitCode.Refused;
            }
            const line = formatProgress(found);
            if (line !== last) {
                this.print(found, `${line}\n`);
                last = line;
            }
            if (found.phase === "done" || found.phase === "rolledBack") {
                return found.phase === "done" ? ExitCode.Success : ExitCode.Refused;
            }
            await sleep(WATCH_POLL_INTERVAL_MS);
        }
    }
}

/** Parses an absolute or relative deadline to milliseconds since the Unix epoch. */
function parseDeadline(text: string): number {
    const [, count, unit] = /^(\d+)([mhd])$/.exec(text) ?? [];
    const atMs = unit === undefined ? Date.parse(text) : Date.now() + Number(count) * UNIT_MS[unit];
    if (Number.isNaN(atMs)) {
        throw new UsageError(`Option --deadline is "${text}"; give a time such as 2026-12-03T18:00:00Z or 4h.`);
    }
    return Math.floor(atMs);
}

function formatShare(share: number): string {
    return `${(100 * share).toFixed(1)}%`;
}

function formatProgress(rollout: rolloutWire.RolloutStatus): string {
    const hold = rollout.holdReason === "" ? "" : `; held: ${rollout.holdReason}`;
    const late = rollout.lateReason === "" ? "" : `; late: ${rollout.lateReason}`;
    const reason = rollout.reason === "" ? "" : `; ${rollout.reason}`;
    return `${rollout.phase}, share ${formatShare(rollout.share)}, ${rollout.attempts} attempts seen${hold}${late}${reason}`;
}

function formatRollout(rollout: rolloutWire.RolloutStatus): string {
    const rows = [
        ["rollout", rollout.id],
        ["pool", rollout.pool],
        ["version", `${rollout.fromVersion} to ${rollout.version}`],
        ["phase", rollout.phase],
        ["share at this node", formatShare(rollout.share)],
        ["held", rollout.holdReason || "-"],
        ["late", rollout.lateReason || "-"],
        ["reason", rollout.reason || "-"],
        ["started", `${new Date(rollout.startMs).toISOString()} by ${rollout.author}`],
        ["deadline", new Date(rollout.deadlineMs).toISOString()],
        ["revision", String(rollout.revision)],
        ["attempts seen", String(rollout.attempts)],
        ["fewest attempts", `${rollout.thinnestAttempts} (${rollout.thinnestView || "nothing seen"})`],
        ["test's level reached", formatShare(rollout.alarmRatio)],
    ];
    return formatTable(["FIELD", "VALUE"], rows);
}
