/**
 * One rollout over several nodes under the virtual clock, by the present code or by the naive one.
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

/** Nodes and the failure domains that they are spread over. */
const NODE_COUNT = 6;
const DOMAIN_COUNT = 4;

/** Length of a step, in milliseconds. */
const SIMULATION_STEP_MS = 100;

/** Time over which shares of the pool's calls are measured, in milliseconds. */
const SHARE_WINDOW_MS = 30_000;

/** Fewest calls in that time for a measured share. */
const MIN_WINDOW_CALLS = 50;

/** Time for which a rollout to a bad and to a good version is watched, as a factor of the time to the deadline. */
const BAD_RUN_DURATION_FACTOR = 1.5;
const GOOD_RUN_DURATION_FACTOR = 1.02;

/** Time after which no call to a version that shows a fault is allowed, in milliseconds. */
const MAX_STOP_DELAY_MS = 3_000;

/** Time after the last step of a rollback during which calls are still counted, in milliseconds. */
const POST_ROLLBACK_MS = 15_000;

/** Rollout of the run. */
const ROLLOUT_ID = "rollout";

/** What a run showed; times are in milliseconds after the start. */
export interface RunResult {
    readonly rolloutCase: RolloutCase;
    readonly doneAtMs: number | undefined;
    readonly rolledBackAtMs: number | undefined;
    readonly faultAtMs: number | undefined;
    /** Time at which the merged evidence, seen without delay, passed the test's level. */
    readonly detectableAtMs: number | undefined;
    readonly lastNewCallAtMs: number;
    /** Share of the pool's calls at the fault's start. */
    readonly shareAtFault: number;
    /** Highest share of the pool's calls from the fault's start on. */
    readonly maxShare: number;
    /** Calls to the version later than allowed after its fault showed. */
    readonly lateCalls: number;
    /** What the evidence rested on when the rollout was done. */
    readonly reason: string;
    /** Bytes of evidence that a node received in a second, over the whole run. */
    readonly evidenceBytesPerSecond: number;
}

/** Chooses versions and takes attempts, for all nodes of a run. */
interface RolloutStrategy {
    /** Whether a call of a node goes to the new version. */
    usesNew(node: number, callId: string, operation: string, nowMs: number): boolean;
    recordAttempt(node: number, figures: AttemptResult): void;
    step(nowMs: number): void;
    /** Time at which the rollout was done, if it was. */
    readonly doneAtMs: number | undefined;
    readonly rolledBackAtMs: number | undefined;
    readonly reason: string;
    readonly publishedBytes: number;
}

/** Runs a rollout by the present code. */
export function runCurrent(tried: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return runRollout(tried, clock, new CurrentStrategy(tried, clock));
}

/** Runs a rollout by the naive code. */
export function runNaive(tried: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return runRollout(tried, clock, new NaiveStrategy(tried, clock.now()));
}

async function runRollout(tried: RolloutCase, clock: VirtualClock, contender: RolloutStrategy): Promise<RunResult> {
    const traffic = new SyntheticTraffic(tried, new SeededRandom(tried.seed));
    const random = new SeededRandom(tried.seed + 1);
    const startMs = clock.now();
    const watch = new OracleDetector(tried, startMs);
    const shares = new ShareMeter();
    const ends = new Map<number, { readonly node: number; readonly attempt: StartedAttempt }[]>();
    const watchedMs = (isBad(tried) ? BAD_RUN_DURATION_FACTOR : GOOD_RUN_DURATION_FACTOR) * tried.durationMs;
    let calls = 0;
    let faultAtMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < watchedMs; elapsedMs += SIMULATION_STEP_MS) {
        for (const { node, attempt } of ends.get(elapsedMs / SIMULATION_STEP_MS) ?? []) {
            attempt.end();
            contender.recordAttempt(node, attempt.result);
            watch.recordAttempt(attempt.result, clock.now());
        }
        ends.delete(elapsedMs / SIMULATION_STEP_MS);
        const count = traffic.drawCalls(elapsedMs, SIMULATION_STEP_MS);
        for (let index = 0; index < count; index++) {
            calls += 1;
            const node = random.nextInt(NODE_COUNT);
            const operation = traffic.drawOperation();
            const usesNew = contender.usesNew(node, `call-${tried.seed}-${calls}`, operation.name, clock.now());
            const attempt = traffic.startAttempt(usesNew ? "new" : "old", operation, elapsedMs);
            if (attempt.faulty && faultAtMs === undefined) {
                faultAtMs = elapsedMs;
                shares.markFault(elapsedMs);
            }
            shares.recordCall(elapsedMs, usesNew);
            if (usesNew && watch.detectedAtMs !== undefined && elapsedMs > watch.detectedAtMs + MAX_STOP_DELAY_MS) {
                shares.lateCalls += 1;
            }
            const endStep = Math.ceil((elapsedMs + attempt.durationMs) / SIMULATION_STEP_MS);
            const ending = ends.get(endStep) ?? [];
            ending.push({ node, attempt });
            ends.set(endStep, ending);
        }
        if (elapsedMs % STEP_INTERVAL_MS === 0) {
            watch.evaluate(clock.now());
        }
        contender.step(clock.now());
        await clock.advance(SIMULATION_STEP_MS);
        if (contender.rolledBackAtMs !== undefined && clock.now() - contender.rolledBackAtMs > POST_ROLLBACK_MS) {
            break;
        }
    }
    const seconds = (clock.now() - startMs) / 1_000;
    return {
        rolloutCase: tried,
        doneAtMs: elapsedSince(contender.doneAtMs, startMs),
        rolledBackAtMs: elapsedSince(contender.rolledBackAtMs, startMs),
        faultAtMs,
        detectableAtMs: watch.detectedAtMs,
        lastNewCallAtMs: shares.lastNewCallAtMs,
        shareAtFault: shares.shareAtFault,
        maxShare: shares.maxShare,
        lateCalls: shares.lateCalls,
        reason: contender.reason,
        evidenceBytesPerSecond: contender.publishedBytes / seconds * (NODE_COUNT - 1) / NODE_COUNT,
    };
}

function elapsedSince(atMs: number | undefined, startMs: number): number | undefined {
    return atMs === undefined ? undefined : atMs - startMs;
}

/** Runs the sequential test over all attempts of the fleet without delay and without leaving any out. */
class OracleDetector {
    detectedAtMs: number | undefined;
    private readonly evidence = new LocalEvidence({ candidate: "new", control: "old" }, { next: () => 0, nextInt: () => 0 });
    private readonly monitor: EvidenceMonitor;

    constructor(tried: RolloutCase, private readonly startMs: number) {
        this.monitor = new EvidenceMonitor(tried.durationMs);
    }

    recordAttempt(figures: AttemptResult, nowMs: number): void {
        this.evidence.record(figures, nowMs, 0);
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

/** Measures the new version's share of the pool's calls. */
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

/** Nodes that run the present code. */
class CurrentStrategy implements RolloutStrategy {
    doneAtMs: number | undefined;
    rolledBackAtMs: number | undefined;
    publishedBytes = 0;
    private readonly managers: RolloutManager[] = [];
    private readonly journals: MemoryJournal[] = [];
    private readonly log: NewRolloutRecord[] = [];

    constructor(tried: RolloutCase, private readonly clock: VirtualClock) {
        const hub = new DisseminationHub(clock);
        const nodes = Array.from({ length: NODE_COUNT }, (value, index) => ({
            id: `entry-${index + 1}`,
            failureDomain: `domain-${index % DOMAIN_COUNT + 1}`,
        }));
        for (const [index, node] of nodes.entries()) {
            const journal = new MemoryJournal(this.log, clock, tried.domainIsolatedFromLog && index % DOMAIN_COUNT === 0);
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
                    random: new SeededRandom(tried.seed * NODE_COUNT + index),
                    ring: new EventRing(node.id, new HybridClock(clock)),
                    table: makeBackendTable(clock),
                    dissemination,
                    journal,
                    peers: () => nodes.filter(peer => peer !== node),
                }),
            );
        }
        this.start(tried);
    }

    usesNew(node: number, callId: string, operation: string): boolean {
        const choice = this.managers[node].choose({ callId, operation, pool: "language-model", retry: false });
        return choice.preferred[0] === "new" && !choice.forbidden.has("new");
    }

    recordAttempt(node: number, figures: AttemptResult): void {
        this.managers[node].attempts.recordAttempt(figures);
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

    private start(tried: RolloutCase): void {
        const startMs = this.clock.now();
        const started: NewRolloutRecord = {
            kind: RolloutRecordKind.Started,
            id: "started",
            author: "operator",
            rollout: ROLLOUT_ID,
            pool: "language-model",
            version: "new",
            fromVersion: "old",
            startMs,
            deadlineMs: startMs + tried.durationMs,
            neededServers: 0,
        };
        this.log.push(started);
        for (const journal of this.journals) {
            journal.readLog(true);
        }
    }
}

/** Nodes that run the naive code; a rollback reaches all nodes by the log. */
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

    recordAttempt(node: number, figures: AttemptResult): void {
        this.nodes[node].recordAttempt(figures);
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

/** Journal of one node over a log in memory. */
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

    /** Reads the records that have come, unless the log is out of reach. */
    readLog(always = false): void {
        if (this.isolatedFromLog && !always) {
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

/** Tells whether a case's version is bad. */
export function isBad(tried: RolloutCase): boolean {
    return tried.fault !== VersionFault.None;
}
