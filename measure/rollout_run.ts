/**
 * Simulation of one rollout over several nodes under the virtual clock, with the current or the naive strategy.
 *
 * @module
 */

import {
    type AttemptResult,
    callFraction,
    EvidenceMonitor,
    LocalEvidence,
    RolloutJournal,
    RolloutManager,
    RolloutPhase,
    type RolloutRecordOutcome,
    RolloutRegistry,
    STEP_INTERVAL_MS,
} from "../src/coordination/mod.js";
import { decodeRolloutRecord, encodeRolloutRecord, type NewRolloutRecord, RolloutRecordKind } from "../src/protocol/mod.js";
import { BackendTable, EventRing, HybridClock, SeededRandom, type Vm, VmRole, VmState } from "../src/state/mod.js";
import { DisseminationHub } from "../standin/local_dissemination.js";
import { VirtualClock } from "../standin/virtual_clock.js";
import { LinearRollout } from "./naive/linear_rollout.js";
import { ENGINE_CLASSES, type RolloutCase, type StartedAttempt, SyntheticTraffic, VersionFault } from "./rollout_traffic.js";

/** Number of nodes, and of the failure domains that they are distributed over. */
const NODE_COUNT = 6;
const DOMAIN_COUNT = 4;

/** Step of the simulation, in milliseconds. */
const SIMULATION_STEP_MS = 100;

/** Sliding window over which the new version's share of the pool's calls is measured, in milliseconds. */
const SHARE_WINDOW_MS = 30_000;

/** Minimum number of calls in the window for a measured share. */
const MIN_WINDOW_CALLS = 50;

/** Duration of the runs with a bad and with a good version, as a multiple of the time to the deadline. */
const BAD_RUN_DURATION_FACTOR = 1.5;
const GOOD_RUN_DURATION_FACTOR = 1.02;

/** Time after a fault becomes detectable from which no call may go to the version, in milliseconds. */
const MAX_STOP_DELAY_MS = 3_000;

/** Time after a rollback during which calls are still counted, in milliseconds. */
const POST_ROLLBACK_MS = 15_000;

/** Id of the rollout of every run. */
const ROLLOUT_ID = "rollout";

/** Result of a run; times are in milliseconds after the start of the rollout. */
export interface RunResult {
    readonly rolloutCase: RolloutCase;
    readonly doneAtMs: number | undefined;
    readonly rolledBackAtMs: number | undefined;
    readonly faultAtMs: number | undefined;
    /** Time at which the evidence of all nodes, merged without delay, crossed the alarm threshold of the sequential test. */
    readonly detectableAtMs: number | undefined;
    readonly lastNewCallAtMs: number;
    /** Share of the pool's calls that the new version received when its fault began. */
    readonly shareAtFault: number;
    /** Highest share of the pool's calls that the new version received after its fault began. */
    readonly maxShare: number;
    /** Calls to the new version more than {@linkcode MAX_STOP_DELAY_MS} after its fault was detectable. */
    readonly lateCalls: number;
    /** Recorded reason of the decision, with the evidence that it is based on. */
    readonly reason: string;
    /** Mean bytes per second of evidence received by a node. */
    readonly evidenceBytesPerSecond: number;
}

/** Chooses the version of each call and receives the results of the attempts, for all nodes of a run. */
interface RolloutStrategy {
    /** Returns whether a call at a node goes to the new version. */
    usesNew(node: number, callId: string, operation: string, nowMs: number): boolean;
    recordAttempt(node: number, result: AttemptResult): void;
    step(nowMs: number): void;
    /** Time at which the rollout was completed; `undefined` until then. */
    readonly doneAtMs: number | undefined;
    readonly rolledBackAtMs: number | undefined;
    readonly reason: string;
    readonly publishedBytes: number;
}

/** Runs a rollout with the current strategy. */
export function runCurrent(rolloutCase: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return runRollout(rolloutCase, clock, new CurrentStrategy(rolloutCase, clock));
}

/** Runs a rollout with the naive strategy. */
export function runNaive(rolloutCase: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return runRollout(rolloutCase, clock, new NaiveStrategy(rolloutCase, clock.now()));
}

async function runRollout(rolloutCase: RolloutCase, clock: VirtualClock, strategy: RolloutStrategy): Promise<RunResult> {
    const traffic = new SyntheticTraffic(rolloutCase, new SeededRandom(rolloutCase.seed));
    const random = new SeededRandom(rolloutCase.seed + 1);
    const startMs = clock.now();
    const oracle = new OracleDetector(rolloutCase, startMs);
    const shareMeter = new ShareMeter();
    const endingAttempts = new Map<number, { readonly node: number; readonly attempt: StartedAttempt }[]>();
    const runDurationMs = (isBad(rolloutCase) ? BAD_RUN_DURATION_FACTOR : GOOD_RUN_DURATION_FACTOR) * rolloutCase.durationMs;
    let calls = 0;
    let faultAtMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < runDurationMs; elapsedMs += SIMULATION_STEP_MS) {
        for (const { node, attempt } of endingAttempts.get(elapsedMs / SIMULATION_STEP_MS) ?? []) {
            attempt.end();
            strategy.recordAttempt(node, attempt.result);
            oracle.recordAttempt(attempt.result, clock.now());
        }
        endingAttempts.delete(elapsedMs / SIMULATION_STEP_MS);
        const count = traffic.drawCalls(elapsedMs, SIMULATION_STEP_MS);
        for (let index = 0; index < count; index++) {
            calls += 1;
            const node = random.nextInt(NODE_COUNT);
            const operation = traffic.drawOperation();
            const usesNew = strategy.usesNew(node, `call-${rolloutCase.seed}-${calls}`, operation.name, clock.now());
            const attempt = traffic.startAttempt(usesNew ? "new" : "old", operation, elapsedMs);
            if (attempt.faulty && faultAtMs === undefined) {
                faultAtMs = elapsedMs;
                shareMeter.markFault(elapsedMs);
            }
            shareMeter.recordCall(elapsedMs, usesNew);
            if (usesNew && oracle.detectedAtMs !== undefined && elapsedMs > oracle.detectedAtMs + MAX_STOP_DELAY_MS) {
                shareMeter.lateCalls += 1;
            }
            const endStep = Math.ceil((elapsedMs + attempt.durationMs) / SIMULATION_STEP_MS);
            const ending = endingAttempts.get(endStep) ?? [];
            ending.push({ node, attempt });
            endingAttempts.set(endStep, ending);
        }
        if (elapsedMs % STEP_INTERVAL_MS === 0) {
            oracle.evaluate(clock.now());
        }
        strategy.step(clock.now());
        await clock.advance(SIMULATION_STEP_MS);
        if (strategy.rolledBackAtMs !== undefined && clock.now() - strategy.rolledBackAtMs > POST_ROLLBACK_MS) {
            break;
        }
    }
    const seconds = (clock.now() - startMs) / 1_000;
    return {
        rolloutCase,
        doneAtMs: elapsedSince(strategy.doneAtMs, startMs),
        rolledBackAtMs: elapsedSince(strategy.rolledBackAtMs, startMs),
        faultAtMs,
        detectableAtMs: oracle.detectedAtMs,
        lastNewCallAtMs: shareMeter.lastNewCallAtMs,
        shareAtFault: shareMeter.shareAtFault,
        maxShare: shareMeter.maxShare,
        lateCalls: shareMeter.lateCalls,
        reason: strategy.reason,
        evidenceBytesPerSecond: strategy.publishedBytes / seconds * (NODE_COUNT - 1) / NODE_COUNT,
    };
}

function elapsedSince(atMs: number | undefined, startMs: number): number | undefined {
    return atMs === undefined ? undefined : atMs - startMs;
}

/** Runs the sequential test on every attempt of the fleet, without sampling or propagation delay, as a reference for detection. */
class OracleDetector {
    detectedAtMs: number | undefined;
    private readonly evidence = new LocalEvidence({ candidate: "new", control: "old" }, { next: () => 0, nextInt: () => 0 });
    private readonly monitor: EvidenceMonitor;

    constructor(rolloutCase: RolloutCase, private readonly startMs: number) {
        this.monitor = new EvidenceMonitor(rolloutCase.durationMs);
    }

    recordAttempt(result: AttemptResult, nowMs: number): void {
        this.evidence.record(result, nowMs, 0);
    }

    evaluate(nowMs: number): void {
        this.monitor.put("all", this.evidence.recentSlices(nowMs));
        if (this.detectedAtMs !== undefined) {
            return;
        }
        for (const finding of this.monitor.evaluate(nowMs).values()) {
            if (finding.alarmRatio >= 1) {
                this.detectedAtMs = nowMs - this.startMs;
            }
        }
    }
}

/** Measures the new version's share of the pool's calls over a sliding window. */
class ShareMeter {
    shareAtFault = 0;
    maxShare = 0;
    lastNewCallAtMs = 0;
    lateCalls = 0;
    private faultAtMs = Infinity;
    private readonly window: { readonly atMs: number; readonly isNew: boolean }[] = [];
    private firstIndex = 0;
    private newCount = 0;

    recordCall(atMs: number, isNew: boolean): void {
        this.window.push({ atMs, isNew });
        this.newCount += Number(isNew);
        while (this.window[this.firstIndex].atMs <= atMs - SHARE_WINDOW_MS) {
            this.newCount -= Number(this.window[this.firstIndex].isNew);
            this.firstIndex += 1;
        }
        if (isNew) {
            this.lastNewCallAtMs = atMs;
        }
        if (atMs >= this.faultAtMs && this.window.length - this.firstIndex >= MIN_WINDOW_CALLS) {
            this.maxShare = Math.max(this.maxShare, this.currentShare);
        }
    }

    markFault(atMs: number): void {
        this.faultAtMs = atMs;
        this.shareAtFault = this.window.length - this.firstIndex >= MIN_WINDOW_CALLS ? this.currentShare : 0;
    }

    private get currentShare(): number {
        return this.newCount / Math.max(1, this.window.length - this.firstIndex);
    }
}

/** Nodes that run the current rollout manager. */
class CurrentStrategy implements RolloutStrategy {
    doneAtMs: number | undefined;
    rolledBackAtMs: number | undefined;
    publishedBytes = 0;
    private readonly managers: RolloutManager[] = [];
    private readonly journals: MemoryJournal[] = [];
    private readonly log: NewRolloutRecord[] = [];

    constructor(rolloutCase: RolloutCase, private readonly clock: VirtualClock) {
        const hub = new DisseminationHub(clock);
        const nodes = Array.from({ length: NODE_COUNT }, (value, index) => ({
            id: `entry-${index + 1}`,
            failureDomain: `domain-${index % DOMAIN_COUNT + 1}`,
        }));
        for (const [index, node] of nodes.entries()) {
            const journal = new MemoryJournal(this.log, clock, rolloutCase.domainIsolatedFromLog && index % DOMAIN_COUNT === 0);
            const dissemination = hub.join(node.id);
            const publish = dissemination.publish.bind(dissemination);
            dissemination.publish = (topic, key, data) => {
                this.publishedBytes += data.length;
                publish(topic, key, data);
            };
            this.journals.push(journal);
            this.managers.push(
                new RolloutManager({
                    node: node.id,
                    failureDomain: node.failureDomain,
                    clock,
                    random: new SeededRandom(rolloutCase.seed * NODE_COUNT + index),
                    ring: new EventRing(node.id, new HybridClock(clock)),
                    table: makeBackendTable(clock),
                    dissemination,
                    journal,
                    peers: () => nodes.filter(peer => peer !== node),
                }),
            );
        }
        this.start(rolloutCase);
    }

    usesNew(node: number, callId: string, operation: string): boolean {
        const choice = this.managers[node].choose({ callId, operation, pool: "language-model", retry: false });
        return choice.preferred[0] === "new" && !choice.forbidden.has("new");
    }

    recordAttempt(node: number, result: AttemptResult): void {
        this.managers[node].attemptObserver.recordAttempt(result);
    }

    step(nowMs: number): void {
        for (const journal of this.journals) {
            journal.readLog();
        }
        for (const [index, manager] of this.managers.entries()) {
            if ((nowMs + index * SIMULATION_STEP_MS) % STEP_INTERVAL_MS === 0) {
                manager.step();
            }
        }
        const rollout = this.journals[1].registry.get(ROLLOUT_ID);
        if (rollout?.phase === RolloutPhase.Done) {
            this.doneAtMs ??= nowMs;
        }
        if (rollout?.phase === RolloutPhase.RolledBack) {
            this.rolledBackAtMs ??= nowMs;
        }
    }

    get reason(): string {
        const rollout = this.journals[1].registry.get(ROLLOUT_ID);
        return rollout?.reason ?? "";
    }

    private start(rolloutCase: RolloutCase): void {
        const startMs = this.clock.now();
        const startRecord: NewRolloutRecord = {
            kind: RolloutRecordKind.Started,
            id: "started",
            author: "operator",
            rollout: ROLLOUT_ID,
            pool: "language-model",
            version: "new",
            fromVersion: "old",
            startMs,
            deadlineMs: startMs + rolloutCase.durationMs,
            neededServers: 0,
        };
        this.log.push(startRecord);
        for (const journal of this.journals) {
            journal.readLog(true);
        }
    }
}

/** Nodes that run the naive rollout; a rollback reaches the other nodes through the log. */
class NaiveStrategy implements RolloutStrategy {
    doneAtMs: number | undefined;
    rolledBackAtMs: number | undefined;
    readonly reason = "";
    readonly publishedBytes = 0;
    private readonly nodes: LinearRollout[];

    constructor(private readonly rolloutCase: RolloutCase, startMs: number) {
        this.nodes = Array.from({ length: NODE_COUNT }, () => new LinearRollout(startMs, startMs + rolloutCase.durationMs));
    }

    usesNew(node: number, callId: string, operation: string, nowMs: number): boolean {
        return callFraction(callId, ROLLOUT_ID) < this.nodes[node].share(nowMs);
    }

    recordAttempt(node: number, result: AttemptResult): void {
        this.nodes[node].recordAttempt(result);
    }

    step(nowMs: number): void {
        if (this.nodes.some(node => node.isRolledBack)) {
            this.rolledBackAtMs ??= nowMs;
            for (const [index, node] of this.nodes.entries()) {
                node.isRolledBack ||= !this.rolloutCase.domainIsolatedFromLog || index % DOMAIN_COUNT !== 0;
            }
        }
        if (this.rolledBackAtMs === undefined && this.nodes.every(node => node.share(nowMs) === 1)) {
            this.doneAtMs ??= nowMs;
        }
    }
}

/** Rollout journal of one node on an in-memory log. */
class MemoryJournal extends RolloutJournal {
    override readonly registry = new RolloutRegistry();
    override lastContactMs = 0;
    private nextOffset = 0;

    constructor(
        private readonly log: NewRolloutRecord[],
        private readonly clock: VirtualClock,
        private readonly isolatedFromLog: boolean,
    ) {
        super();
    }

    /** Reads the new records, unless the node is isolated from the log and the read is not forced. */
    readLog(force = false): void {
        if (this.isolatedFromLog && !force) {
            return;
        }
        this.lastContactMs = this.clock.now();
        while (this.nextOffset < this.log.length) {
            const record = decodeRolloutRecord(encodeRolloutRecord(this.log[this.nextOffset]));
            if (record !== undefined) {
                this.registry.apply(this.nextOffset, record);
            }
            this.nextOffset += 1;
        }
    }

    override async commit(record: NewRolloutRecord): Promise<RolloutRecordOutcome | undefined> {
        if (this.isolatedFromLog) {
            return undefined;
        }
        this.log.push(record);
        this.readLog();
        return this.registry.outcome(record.id);
    }
}

function makeBackendTable(clock: VirtualClock): BackendTable {
    const vms: Vm[] = [];
    for (const version of ["old", "new"]) {
        for (const { name } of ENGINE_CLASSES) {
            const id = `${version} ${name}`;
            const vm = { id, role: VmRole.Backend, address: id, failureDomain: "domain-1", state: VmState.Live };
            vms.push({ ...vm, pool: "language-model" });
        }
    }
    const table = new BackendTable();
    table.replace(vms);
    for (const server of table.all) {
        const [version, engineClass] = server.vm.id.split(" ");
        server.report = { version, engineClass, waiting: 0, running: 0, waitingTokens: 0, atMs: clock.now() };
    }
    return table;
}

/** Returns whether the new version of a case has a fault. */
export function isBad(rolloutCase: RolloutCase): boolean {
    return rolloutCase.fault !== VersionFault.None;
}
