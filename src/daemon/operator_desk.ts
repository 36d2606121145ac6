/**
 * Answers of a daemon to operators.
 *
 * @module
 */

import { runEffects, takeWhile, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { Member } from "../coordination/mod.js";
import type { wire } from "../protocol/mod.js";
import { OperatorHandler, type TimelineFeed } from "../protocol/mod.js";
import type { TimelineEvent } from "../state/mod.js";
import type { EntryNode } from "./entry_node.js";
import type { LimitedQuantity } from "./metrics.js";

/** Settings of an {@linkcode OperatorDesk}. */
export interface OperatorDeskSettings {
    /** Node that answers. */
    readonly node: EntryNode;
    readonly limits: readonly LimitedQuantity[];
    readonly isReady: () => boolean;
    /** Time at which the certificate for peers expires, or `undefined` with plain text. */
    readonly certificateExpiresAtMs: () => number | undefined;
}

/** Answers operators from the state of the daemon. */
export class OperatorDesk extends OperatorHandler {
    /** @param settings See {@linkcode OperatorDeskSettings}. */
    constructor(private readonly settings: OperatorDeskSettings) {
        super();
    }

    override async readStatus(): Promise<wire.StatusReply> {
        const { node, isReady, limits, certificateExpiresAtMs } = this.settings;
        return {
            node: node.settings.node,
            failureDomain: node.settings.failureDomain,
            ready: isReady(),
            configurationVersion: node.view.current.version,
            backendServers: this.describeServers(),
            limits: limits.map(quantity => ({ name: quantity.name, value: quantity.read(), limit: quantity.limit })),
            certificateExpiresAtMs: certificateExpiresAtMs() ?? 0,
            members: node.membership.list().map(describeMember),
        };
    }

    override async readConfiguration(): Promise<wire.ConfigurationReply> {
        const { version, document } = this.settings.node.view.current;
        return { version, document: JSON.stringify(document) };
    }

    override async changeConfiguration(request: wire.ChangeConfigurationRequest): Promise<wire.ChangeConfigurationReply> {
        const document = parseDocument(request.document);
        const change = { madeAgainst: request.madeAgainst, author: request.author, document };
        const result = await this.settings.node.follower.change(change);
        if (result.problems !== undefined) {
            return { accepted: false, version: this.settings.node.view.current.version, problems: [...result.problems] };
        }
        return { accepted: true, version: result.version, problems: [] };
    }

    override readTimeline(request: wire.ReadTimelineRequest, feed: TimelineFeed): void {
        const wanted = (event: TimelineEvent) => request.requestId === "" || event.requestId === request.requestId;
        for (const event of this.settings.node.ring.list().filter(wanted)) {
            feed.send(toRecord(event));
        }
        if (!request.follow) {
            feed.end();
            return;
        }
        let open = true;
        feed.onClose(() => {
            open = false;
        });
        const sendWanted = (event: TimelineEvent) => {
            if (wanted(event)) {
                feed.send(toRecord(event));
            }
        };
        void runEffects(tap(sendWanted, takeWhile(() => open, this.settings.node.ring.events)), newDefaultScheduler());
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

function describeMember({ id, address, failureDomain, state, life, incarnation }: Member): wire.MemberStatus {
    return { id, address, failureDomain, state, life, incarnation };
}

function parseDocument(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
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
    };
}
