/**
 * Command `foxtailrail timeline`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { MemberState } from "../coordination/mod.js";
import type { wire } from "../protocol/mod.js";
import { compareHybridTimes } from "../state/mod.js";
import { type OperatorClient, OperatorError } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Events of the nodes that answered, and the nodes that did not. */
interface MergedTimeline {
    readonly events: readonly wire.EventRecord[];
    readonly unreachable: readonly string[];
}

/** Shows the events of all nodes in one order. */
export class TimelineCommand extends OperatorCommand {
    static override paths = [["timeline"]];
    static override usage = Command.Usage({
        category: "Daemons",
        description: "Shows the events of all nodes in one order.",
        details: "Nodes that do not answer are named at the end.",
        examples: [["Follow one call over all nodes", "foxtailrail timeline --request entry-1-a-m3x"]],
    });
    request = Option.String("--request", "", { description: "Show only the events of this call." });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const merged = await this.readAll(client);
        const rows = merged.events.map(event => [
            new Date(event.wallMs).toISOString(),
            event.node,
            event.part,
            event.kind,
            event.requestId || "-",
            event.text,
        ]);
        const missing = merged.unreachable.map(node => `No answer from ${node}.\n`).join("");
        this.print(merged, formatTable(["TIME", "NODE", "PART", "KIND", "CALL", "EVENT"], rows) + missing);
        return ExitCode.Done;
    }

    private async readAll(client: OperatorClient): Promise<MergedTimeline> {
        const { members, node } = await client.readStatus();
        const present = members.filter(member => member.state !== MemberState.Dead && member.state !== MemberState.Left);
        const addresses = new Map(present.map(member => [member.id, member.address]));
        addresses.set(node, client.address);
        const events: wire.EventRecord[] = [];
        const unreachable: string[] = [];
        for (const [id, address] of addresses) {
            try {
                events.push(...await this.readNode(await this.connect(address)));
            }
            catch (error) {
                if (!(error instanceof OperatorError)) {
                    throw error;
                }
                unreachable.push(`${id} (${address})`);
            }
        }
        return { events: events.sort(compareHybridTimes), unreachable };
    }

    private async readNode(client: OperatorClient): Promise<readonly wire.EventRecord[]> {
        const events: wire.EventRecord[] = [];
        try {
            for await (const event of client.readTimeline({ requestId: this.request, follow: false })) {
                events.push(event);
            }
            return events;
        }
        finally {
            client.close();
        }
    }
}
