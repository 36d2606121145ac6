/**
 * Operator interface for rollouts.
 *
 * @module
 */

import {
    findStartProblems,
    type NewRolloutRecord,
    RolloutOperatorHandler,
    RolloutRecordKind,
    rolloutWire,
} from "../../protocol/mod.js";
import type { BackendTable, Clock, ConfigurationView } from "../../state/mod.js";
import type { RolloutFollower } from "./rollout_follower.js";
import type { RolloutManager } from "./rollout_manager.js";
import { isActive, type Rollout } from "./rollout_registry.js";

/** Maximum time to wait for a record to be committed, in milliseconds. */
const COMMIT_TIMEOUT_MS = 12_000;

/** Minimum time from start to deadline, in milliseconds. */
const MIN_DURATION_MS = 60_000;

/** Settings of a {@linkcode RolloutOperatorService}. */
export interface RolloutOperatorServiceSettings {
    readonly node: string;
    readonly clock: Clock;
    readonly view: ConfigurationView;
    readonly table: BackendTable;
    readonly follower: RolloutFollower;
    readonly manager: RolloutManager;
}

/** Validates operators' requests on rollouts and commits them to the log. */
export class RolloutOperatorService extends RolloutOperatorHandler {
    private requestCount = 0;

    /** @param settings See {@linkcode RolloutOperatorServiceSettings}. */
    constructor(private readonly settings: RolloutOperatorServiceSettings) {
        super();
    }

    override async start(request: rolloutWire.StartRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        const { clock } = this.settings;
        const { pool, version, author, deadlineMs } = request;
        const fromVersion = this.activeVersion(pool, version);
        const problems = [
            ...findStartProblems({ pool, version, author, deadlineMs }),
            ...this.findPoolProblems(request, fromVersion),
        ];
        const id = this.nextId();
        if (problems.length > 0 || fromVersion === undefined) {
            return { accepted: false, rollout: "", problems };
        }
        const neededServers = request.neededServers || this.countServers(pool, fromVersion);
        const startMs = Math.floor(clock.now());
        const common = { pool, version, author, deadlineMs, neededServers, fromVersion, startMs };
        return this.commit({ ...common, kind: RolloutRecordKind.Started, id, rollout: id });
    }

    override async change(request: rolloutWire.ChangeRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        const { follower, manager } = this.settings;
        const rollout = follower.registry.get(request.rollout);
        if (rollout === undefined) {
            const problem =
                `Field "rollout" is wrong: no rollout has the id "${request.rollout}"; see "foxtailrail rollout list".`;
            return { accepted: false, rollout: request.rollout, problems: [problem] };
        }
        const common = { id: this.nextId(), author: request.author, rollout: rollout.id };
        const reason = request.reason || "no reason given";
        switch (request.order) {
            case rolloutWire.RolloutOrder.PAUSE:
                return this.commit({ ...common, kind: RolloutRecordKind.Paused, reason });
            case rolloutWire.RolloutOrder.RESUME: {
                const madeAgainst = request.madeAgainst < 0 ? rollout.revision : request.madeAgainst;
                return this.commit({ ...common, kind: RolloutRecordKind.Resumed, madeAgainst });
            }
            default:
                if (isStoppable(rollout, follower)) {
                    manager.rollBack(rollout, request.author, reason);
                }
                return this.commit({ ...common, id: `${rollout.id}-rolledBack`, kind: RolloutRecordKind.RolledBack, reason });
        }
    }

    override async list(request: rolloutWire.ListRolloutsRequest): Promise<rolloutWire.ListRolloutsReply> {
        const rollouts = [...this.settings.follower.registry.all]
            .filter(rollout => request.rollout === "" || rollout.id === request.rollout)
            .map(rollout => this.describe(rollout));
        return { rollouts };
    }

    private describe(rollout: Rollout): rolloutWire.RolloutStatus {
        const controller = this.settings.manager.controller(rollout.id);
        const stopped = this.settings.manager.isVersionStopped(rollout);
        const { thinnestFinding } = controller ?? {};
        const { id, pool, version, fromVersion, startMs, deadlineMs, author, phase, revision, reason } = rollout;
        return {
            ...{ id, pool, version, fromVersion, startMs, deadlineMs, author, revision, reason },
            phase: stopped ? "rolledBack" : phase,
            lateReason: rollout.lateReason ?? "",
            share: stopped ? 0 : controller?.share ?? Number(phase === "done"),
            holdReason: controller?.holdReason ?? "",
            attempts: controller?.attempts ?? 0,
            thinnestAttempts: thinnestFinding?.attempts ?? 0,
            thinnestView: controller?.describeThinnestView() ?? "",
            alarmRatio: controller?.strongestFinding?.alarmRatio ?? 0,
        };
    }

    private async commit(record: NewRolloutRecord): Promise<rolloutWire.ChangeRolloutReply> {
        const { clock, follower } = this.settings;
        const timeout = new AbortController();
        const done = new AbortController();
        void clock.sleep(COMMIT_TIMEOUT_MS, done.signal).then(elapsed => elapsed && timeout.abort());
        const outcome = await follower.commit(record, timeout.signal);
        done.abort();
        const rollout = "rollout" in record ? record.rollout : "";
        if (outcome === undefined) {
            const problem =
                `The log has not confirmed record ${record.id}; it may take effect all the same. Check the rollout later.`;
            return { accepted: false, rollout, problems: [problem] };
        }
        return outcome.kind === "refused" ?
            { accepted: false, rollout, problems: [outcome.problem] } :
            { accepted: true, rollout, problems: [] };
    }

    private findPoolProblems(
        { pool, version, deadlineMs }: rolloutWire.StartRolloutRequest,
        fromVersion: string | undefined,
    ): readonly string[] {
        const { clock, view } = this.settings;
        const problems: string[] = [];
        if (!view.current.document.pools.some(each => each.name === pool)) {
            problems.push(`Field "pool" is wrong: no pool is named "${pool}"; add it to the configuration.`);
        }
        if (deadlineMs < clock.now() + MIN_DURATION_MS) {
            problems.push(
                `Field "deadline" is wrong: ${
                    new Date(deadlineMs).toISOString()
                } is less than a minute from now; give a later time.`,
            );
        }
        if (fromVersion === undefined) {
            problems.push(
                `Field "version" is wrong: no backend server of pool "${pool}" runs a version other than "${version}".`,
            );
        }
        return problems;
    }

    /** Returns the version that serves a pool: by its last rollout, or else the one that most backend servers run. */
    private activeVersion(pool: string, version: string): string | undefined {
        const recorded = this.settings.follower.registry.activeVersion(pool);
        if (recorded !== undefined && recorded !== version) {
            return recorded;
        }
        const versions = this.settings.table.inPool(pool).map(server => server.report?.version);
        const otherVersions = [...new Set(versions)].filter(each => each !== undefined && each !== version);
        const counted = otherVersions.map(each => ({ each, count: this.countServers(pool, each as string) }));
        return counted.sort((left, right) => right.count - left.count)[0]?.each;
    }

    private countServers(pool: string, version: string): number {
        return this.settings.table.inPool(pool).filter(server => server.acceptsRequests && server.report?.version === version)
            .length;
    }

    private nextId(): string {
        this.requestCount += 1;
        return `${this.settings.node}-${Math.floor(this.settings.clock.now()).toString(36)}-${this.requestCount}`;
    }
}

function isStoppable(rollout: Rollout, follower: RolloutFollower): boolean {
    return follower.registry.latest(rollout.pool) === rollout && (isActive(rollout) || rollout.phase === "done");
}
