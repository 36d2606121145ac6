/**
 * Status and timeline service for operators.
 *
 * @module
 */

import { runEffects, takeWhile, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { Member } from "../coordination/mod.js";
import type { wire } from "../protocol/mod.js";
import { OperatorHandler, type TimelineFeed } from "../protocol/mod.js";
import { Part, type TimelineEvent } from "../state/mod.js";
import type { EntryNode } from "./entry_node.js";
import type { LimitedQuantity } from "./metrics.js";
import { DROPPED_EVENT_KIND, TimelineSender } from "./timeline_sender.js";

/** Settings of an {@linkcode OperatorService}. */
export interface OperatorServiceSettings {
    /** Node whose state is reported. */
    readonly node: EntryNode;
    readonly limits: readonly LimitedQuantity[];
    readonly isReady: () => boolean;
    /** Returns the time at which the certificate for peers expires; `undefined` if TLS is off, which is the default. */
    readonly certificateExpiresAtMs?: () => number | undefined;
}

/** Reports the status of the daemon, and streams its timeline events. */
export class OperatorService extends OperatorHandler {
    /** @param settings See {@linkcode OperatorServiceSettings}. */
    constructor(private readonly settings: OperatorServiceSettings) {
        super();
    }

    override async readStatus(): Promise<wire.StatusReply> {
        const { node, isReady, limits, certificateExpiresAtMs } = this.settings;
        return {
            node: node.settings.node,
            failureDomain: node.settings.failureDomain,
            ready: isReady(),
            configurationVersion: node.view.published.version,
            backendServers: this.toServerStatuses(),
            limits: limits.map(quantity => ({ name: quantity.name, value: quantity.read(), limit: quantity.limit })),
            certificateExpiresAtMs: certificateExpiresAtMs?.() ?? 0,
            members: node.membership.list().map(toMemberStatus),
        };
    }

    override readTimeline(request: wire.ReadTimelineRequest, feed: TimelineFeed): void {
        const { ring } = this.settings.node;
        const sender = new TimelineSender({
            feed,
            backlog: ring.list().filter(event => matchesFilter(event, request)).map(toEventRecord),
            makeDroppedEvent: count => this.makeDroppedEvent(count),
            endsAfterBacklog: !request.follow,
        });
        if (!request.follow) {
            return;
        }
        const sendMatching = (event: TimelineEvent) => {
            if (matchesFilter(event, request)) {
                sender.offer(toEventRecord(event));
            }
        };
        void runEffects(tap(sendMatching, takeWhile(() => sender.isOpen, ring.events)), newDefaultScheduler());
    }

    private makeDroppedEvent(count: number): wire.EventRecord {
        const { ring, hybridClock } = this.settings.node;
        const text = `${count} events were dropped, since this reader is slow.`;
        return toEventRecord({ part: Part.Daemon, kind: DROPPED_EVENT_KIND, text, node: ring.node, time: hybridClock.tick() });
    }

    private toServerStatuses(): wire.BackendServerStatus[] {
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

function toMemberStatus({ id, address, failureDomain, state, life, incarnation }: Member): wire.MemberStatus {
    return { id, address, failureDomain, state, life, incarnation };
}

/** Returns whether an event matches every filter that the request sets; empty and 0 mean unset. */
function matchesFilter(event: TimelineEvent, request: wire.ReadTimelineRequest): boolean {
    const { wallMs } = event.time;
    return (request.requestId === "" || event.requestId === request.requestId) &&
        (request.rollout === "" || event.rollout === request.rollout) &&
        (request.peer === "" || event.peer === request.peer) &&
        (request.sinceMs === 0 || wallMs >= request.sinceMs) &&
        (request.untilMs === 0 || wallMs < request.untilMs);
}

function toEventRecord(event: TimelineEvent): wire.EventRecord {
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
