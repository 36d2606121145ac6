/**
 * Command `foxtailrail timeline`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { once } from "node:events";
import { writeFile } from "node:fs/promises";
import { MemberState } from "../coordination/mod.js";
import type { wire } from "../protocol/mod.js";
import { followTimelines, mergeTimelines, type TimelineSource, type UnreachableNode } from "./merged_timeline.js";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";
import { formatTable } from "./table.js";
import { renderTimelinePage } from "./timeline_page.js";

/** Matches a time span before now, such as `90s`. */
const TIME_SPAN_PATTERN = /^(\d+)([smh])$/;

/** Milliseconds in each unit of a time span. */
const UNIT_MS: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000 };

/** Shows the events of all nodes in one order. */
export class TimelineCommand extends OperatorCommand {
    static override paths = [["timeline"]];
    static override usage = Command.Usage({
        category: "Daemons",
        description: "Shows the events of all nodes in one order.",
        details:
            "Nodes that do not answer are listed, and the exit code is then 3. Events dropped for a slow reader are counted.",
        examples: [
            ["Show the events of one call on all nodes", "foxtailrail timeline --request entry-1-a-m3x"],
            ["Follow a rollout", "foxtailrail timeline --rollout llm-2-4 --follow"],
            [
                "Draw the last ten minutes of one backend server",
                "foxtailrail timeline --server language-model-2 --since 10m --html page.html",
            ],
        ],
    });
    request = Option.String("--request", "", { description: "Only the events of this call." });
    rollout = Option.String("--rollout", "", { description: "Only the events of this rollout." });
    server = Option.String("--server", "", { description: "Only the events of this backend server or other peer." });
    node = Option.String("--node", { description: "Only the events of this node." });
    since = Option.String("--since", {
        description: "Only events from this time on, such as 10m (ago) or 2026-12-03T22:00:00Z.",
    });
    until = Option.String("--until", { description: "Only events before this time, such as 5m (ago) or 2026-12-03T22:10:00Z." });
    follow = Option.Boolean("--follow", false, { description: "Keep printing new events until interrupted." });
    html = Option.String("--html", {
        description: "Write an HTML page with a diagram to this file instead of printing a table.",
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        if (this.follow && this.html !== undefined) {
            throw new UsageError("Options --follow and --html cannot be combined; give one of them.");
        }
        const sources = await this.listSources(client);
        return this.follow ? this.followAll(sources) : this.showAll(sources);
    }

    private async showAll(sources: readonly TimelineSource[]): Promise<ExitCode> {
        const merged = await mergeTimelines(sources);
        if (this.html !== undefined) {
            await writeFile(this.html, renderTimelinePage(merged));
            this.context.stdout.write(`${merged.events.length} events are in ${this.html}.\n`);
        }
        else {
            const table = formatTable(["TIME", "NODE", "PART", "KIND", "CALL", "EVENT"], merged.events.map(toRow));
            this.print(merged, table + merged.unreachable.map(describeUnreachable).join(""));
        }
        return merged.unreachable.length > 0 ? ExitCode.Unreachable : ExitCode.Success;
    }

    private async followAll(sources: readonly TimelineSource[]): Promise<ExitCode> {
        const interrupted = new AbortController();
        process.once("SIGINT", () => interrupted.abort());
        let exitCode = ExitCode.Success;
        const sink = {
            onEvents: async (events: readonly wire.EventRecord[]) => {
                const lines = events.map(event => this.json ? JSON.stringify(event) : toRow(event).join("  "));
                if (!this.context.stdout.write(`${lines.join("\n")}\n`)) {
                    await once(this.context.stdout, "drain");
                }
            },
            onUnreachable: (node: UnreachableNode) => {
                exitCode = ExitCode.Unreachable;
                this.context.stderr.write(describeUnreachable(node));
            },
        };
        await followTimelines(sources, sink, interrupted.signal);
        return exitCode;
    }

    private async listSources(client: OperatorClient): Promise<readonly TimelineSource[]> {
        const status = await client.readStatus();
        const activeMembers = status.members.filter(member =>
            member.state !== MemberState.Dead && member.state !== MemberState.Left
        );
        const addresses = new Map(activeMembers.map(member => [member.id, member.address]));
        addresses.set(status.node, client.address);
        if (this.node !== undefined && !addresses.has(this.node)) {
            throw new UsageError(`Option --node is "${this.node}"; the nodes are ${[...addresses.keys()].sort().join(", ")}.`);
        }
        const request = this.toRequest();
        const selected = [...addresses].filter(([node]) => this.node === undefined || node === this.node);
        return selected.map(([node, address]) => ({
            node,
            address,
            read: signal => this.readNode({ address, request, signal }),
        }));
    }

    private async *readNode({ address, request, signal }: NodeReadSettings): AsyncGenerator<wire.EventRecord> {
        const client = await this.connect(address);
        try {
            yield* client.readTimeline(request, signal);
        }
        finally {
            client.close();
        }
    }

    private toRequest(): wire.ReadTimelineRequest {
        return {
            requestId: this.request,
            rollout: this.rollout,
            peer: this.server,
            sinceMs: parseTime("--since", this.since),
            untilMs: parseTime("--until", this.until),
            follow: this.follow,
        };
    }
}

/** Settings for reading the timeline of one node. */
interface NodeReadSettings {
    readonly address: string;
    readonly request: wire.ReadTimelineRequest;
    readonly signal: AbortSignal | undefined;
}

function toRow(event: wire.EventRecord): readonly string[] {
    return [new Date(event.wallMs).toISOString(), event.node, event.part, event.kind, event.requestId || "-", event.text];
}

function describeUnreachable({ node, address, why }: UnreachableNode): string {
    return `No answer from ${node} (${address}): ${why}\n`;
}

/** Parses an absolute time, or a span before now, to milliseconds since the Unix epoch; 0 if missing. */
function parseTime(option: string, text: string | undefined): number {
    if (text === undefined) {
        return 0;
    }
    const [, count, unit] = TIME_SPAN_PATTERN.exec(text) ?? [];
    const timeMs = count === undefined ? Date.parse(text) : Date.now() - Number(count) * UNIT_MS[unit];
    if (Number.isNaN(timeMs)) {
        throw new UsageError(`Option ${option} is "${text}"; give a span such as 10m, or a time such as 2026-12-03T22:00:00Z.`);
    }
    return timeMs;
}
