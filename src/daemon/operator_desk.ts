/**
 * Answers of a daemon to operators.
 *
 * @module
 */

import { runEffects, takeWhile, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { wire } from "../protocol/mod.js";
import { OperatorHandler, type TimelineFeed } from "../protocol/mod.js";
import { Part, type TimelineEvent, type Vm } from "../state/mod.js";
import type { EntryNode } from "./entry_node.js";
import type { LimitedQuantity } from "./metrics.js";
import { DROPPED_KIND, TimelineSender } from "./timeline_sender.js";

/** Settings of an {@linkcode OperatorDesk}. */
export interface OperatorDeskSettings {
    /** Node that answers. */
    readonly node: EntryNode;
    readonly limits: readonly LimitedQuantity[];
    readonly isReady: () => boolean;
}

/** Answers operators from the state of the daemon. */
export class OperatorDesk extends OperatorHandler {
    /** @param settings See {@linkcode OperatorDeskSettings}. */
    constructor(private readonly settings: OperatorDeskSettings) {
        super();
    }

    override async readStatus(): Promise<wire.StatusReply> {
        const { node, isReady, limits } = this.settings;
        return {
            node: node.settings.node,
            failureDomain: node.settings.failureDomain,
            ready: isReady(),
            configurationVersion: node.view.published.version,
            backendServers: this.describeServers(),
            limits: limits.map(quantity => ({ name: quantity.name, value: quantity.read(), limit: quantity.limit })),
            members: node.entryVms.map(describeMember),
        };
    }

    override readTimeline(request: wire.ReadTimelineRequest, feed: TimelineFeed): void {
        const { ring } = this.settings.node;
        const sender = new TimelineSender({
            feed,
            backlog: ring.list().filter(event => isWanted(event, request)).map(toRecord),
            describeDropped: count => this.describeDropped(count),
            endsAfterBacklog: !request.follow,
        });
        if (!request.follow) {
            return;
        }
        const sendWanted = (event: TimelineEvent) => {
            if (isWanted(event, request)) {
                sender.offer(toRecord(event));
            }
        };
        void runEffects(tap(sendWanted, takeWhile(() => sender.isOpen, ring.events)), newDefaultScheduler());
    }

    private describeDropped(count: number): wire.EventRecord {
        const { ring, hybridClock } = this.settings.node;
        const text = `${count} events were dropped, since this reader is slow.`;
        return toRecord({ part: Part.Daemon, kind: DROPPED_KIND, text, node: ring.node, time: hybridClock.tick() });
    }

    private describeServers(): wire.BackendServerStatus[] {
        const { table, settings: { clock } } = this.settings.node;
        return [...table.all].map(server => ({
            id: server.vm.id,
            pool: server.vm.pool ?? "",
            failureDomain: server.vm.failureDomain,
            state: server.vm.state,
            version: server.report?.version ?? "",
            outstanding: server.outstanding,
            reportAgeMs: server.report === undefined ? -1 : Math.round(clock.now() - server.report.atMs),
        }));
    }
}

function describeMember(vm: Vm): wire.MemberStatus {
    return { id: vm.id, address: vm.address, failureDomain: vm.failureDomain, state: vm.state };
}

function isWanted(event: TimelineEvent, request: wire.ReadTimelineRequest): boolean {
    const { wallMs } = event.time;
    return (request.requestId === "" || event.requestId === request.requestId) &&
        (request.rollout === "" || event.rollout === request.rollout) &&
        (request.peer === "" || event.peer === request.peer) &&
        (request.sinceMs === 0 || wallMs >= request.sinceMs) &&
        (request.untilMs === 0 || wallMs < request.untilMs);
}

function toRecord(event: TimelineEvent): wire.EventRecord {
    return {
        wallMs: event.time.wallMs,
        counter: event.time.counter,
        node: event.node,
        part: event.part,
        kind: event.kind,
        requestId: event.requestId ?? "",
        peer: event.peer ?? "",
        text: event.text,
        rollout: event.rollout ?? "",
    };
}
