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
const STEP_MS = 100;

/** Time over which shares of the pool's calls are measured, in milliseconds. */
const SHARE_WINDOW_MS = 30_000;

/** Fewest calls in that time for a measured share. */
const LEAST_WINDOW_CALLS = 50;

/** Time for which a rollout to a bad and to a good version is watched, as a factor of the time to the deadline. */
const WATCHED_FACTOR = 1.5;
const WATCHED_FACTOR_GOOD = 1.02;

/** Time after which no call to a version that shows a fault is allowed, in milliseconds. */
const STOP_BOUND_MS = 3_000;

/** Time after the last step of a rollback during which calls are still counted, in milliseconds. */
const AFTER_STOP_MS = 15_000;

/** Rollout of the run. */
const ROLLOUT = "rollout";

/** What a run showed; times are in milliseconds after the start. */
export interface RunResult {
    readonly tried: RolloutCase;
    readonly doneAtMs: number | undefined;
    readonly stoppedAtMs: number | undefined;
    readonly faultAtMs: number | undefined;
    /** Time at which the merged evidence, seen without delay, passed the test's level. */
    readonly shownAtMs: number | undefined;
    readonly lastCallAtMs: number;
    /** Share of the pool's calls at the fault's start. */
    readonly shareAtFault: number;
    /** Highest share of the pool's calls from the fault's start on. */
    readonly highestShare: number;
    /** Calls to the version later than allowed after its fault showed. */
    readonly lateCalls: number;
    /** What the evidence rested on when the rollout was done. */
    readonly evidence: string;
    /** Bytes of evidence that a node received in a second, over the whole run. */
    readonly evidenceBytesPerSecond: number;
}

/** Chooses versions and takes attempts, for all nodes of a run. */
interface Contender {
    /** Whether a call of a node goes to the new version. */
    usesNew(node: number, callId: string, operation: string, nowMs: number): boolean;
    record(node: number, figures: AttemptResult): void;
    step(nowMs: number): void;
    /** Time at which the rollout was done, if it was. */
    readonly doneAtMs: number | undefined;
    readonly stoppedAtMs: number | undefined;
    readonly evidence: string;
    readonly sharedBytes: number;
}

/** Runs a rollout by the present code. */
export function runCurrent(tried: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return run(tried, clock, new CurrentContender(tried, clock));
}

/** Runs a rollout by the naive code. */
export function runNaive(tried: RolloutCase): Promise<RunResult> {
    const clock = new VirtualClock();
    return run(tried, clock, new NaiveContender(tried, clock.now()));
}

async function run(tried: RolloutCase, clock: VirtualClock, contender: Contender): Promise<RunResult> {
    const traffic = new SyntheticTraffic(tried, new SeededRandom(tried.seed));
    const random = new SeededRandom(tried.seed + 1);
    const startMs = clock.now();
    const watch = new HindsightWatch(tried, startMs);
    const shares = new ShareMeter();
    const ends = new Map<number, { readonly node: number; readonly attempt: StartedAttempt }[]>();
    const watchedMs = (isBad(tried) ? WATCHED_FACTOR : WATCHED_FACTOR_GOOD) * tried.lifeMs;
    let calls = 0;
    let faultAtMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < watchedMs; elapsedMs += STEP_MS) {
        for (const { node, attempt } of ends.get(elapsedMs / STEP_MS) ?? []) {
            attempt.end();
            contender.record(node, attempt.figures);
            watch.record(attempt.figures, clock.now());
        }
        ends.delete(elapsedMs / STEP_MS);
        const count = traffic.drawCalls(elapsedMs, STEP_MS);
        for (let index = 0; index < count; index++) {
            calls += 1;
            const node = random.nextInt(NODE_COUNT);
            const operation = traffic.drawOperation();
            const usesNew = contender.usesNew(node, `call-${tried.seed}-${calls}`, operation.name, clock.now());
            const attempt = traffic.begin(usesNew ? "new" : "old", operation, elapsedMs);
            if (attempt.faulty && faultAtMs === undefined) {
                faultAtMs = elapsedMs;
                shares.markFault(elapsedMs);
            }
            shares.count(elapsedMs, usesNew);
            if (usesNew && watch.shownAtMs !== undefined && elapsedMs > watch.shownAtMs + STOP_BOUND_MS) {
                shares.lateCalls += 1;
            }
            const endStep = Math.ceil((elapsedMs + attempt.durationMs) / STEP_MS);
            const ending = ends.get(endStep) ?? [];
            ending.push({ node, attempt });
            ends.set(endStep, ending);
        }
        if (elapsedMs % STEP_INTERVAL_MS === 0) {
            watch.look(clock.now());
        }
        contender.step(clock.now());
        await clock.advance(STEP_MS);
        if (contender.stoppedAtMs !== undefined && clock.now() - contender.stoppedAtMs > AFTER_STOP_MS) {
            break;
        }
    }
    const seconds = (clock.now() - startMs) / 1_000;
    return {
        tried,
        doneAtMs: since(contender.doneAtMs, startMs),
        stoppedAtMs: since(contender.stoppedAtMs, startMs),
        faultAtMs,
        shownAtMs: watch.shownAtMs,
        lastCallAtMs: shares.lastNewAtMs,
        shareAtFault: shares.atFault,
        highestShare: shares.highest,
        lateCalls: shares.lateCalls,
        evidence: contender.evidence,
        evidenceBytesPerSecond: contender.sharedBytes / seconds * (NODE_COUNT - 1) / NODE_COUNT,
    };
}

function since(atMs: number | undefined, startMs: number): number | undefined {
    return atMs === undefined ? undefined : atMs - startMs;
}

/** Runs the sequential test over all attempts of the fleet without delay and without leaving any out. */
class HindsightWatch {
    shownAtMs: number | undefined;
    private readonly evidence = new LocalEvidence({ candidate: "new", control: "old" }, { next: () => 0, nextInt: () => 0 });
    private readonly monitor: EvidenceMonitor;

    constructor(tried: RolloutCase, private readonly startMs: number) {
        this.monitor = new EvidenceMonitor(tried.lifeMs);
    }

    record(figures: AttemptResult, nowMs: number): void {
        this.evidence.record(figures, nowMs, 0);
    }

    look(nowMs: number): void {
        this.monitor.put("all", this.evidence.recentSlices(nowMs));
        if (this.shownAtMs !== undefined) {
            return;
        }
        for (const finding of this.monitor.evaluate(nowMs).values()) {
            if (finding.alarmRatio >= 1) {
                this.shownAtMs = nowMs - this.startMs;
            }
        }
    }
}

/** Measures the new version's share of the pool's calls. */
class ShareMeter {
    atFault = 0;
    highest = 0;
    lastNewAtMs = 0;
    lateCalls = 0;
    private faultAtMs = Infinity;
    private readonly window: { readonly atMs: number; readonly isNew: boolean }[] = [];
    private first = 0;
    private newCount = 0;

    count(atMs: number, isNew: boolean): void {
        this.window.push({ atMs, isNew });
        this.newCount += Number(isNew);
        while (this.window[this.first].atMs <= atMs - SHARE_WINDOW_MS) {
            this.newCount -= Number(this.window[this.first].isNew);
            this.first += 1;
        }
        if (isNew) {
            this.lastNewAtMs = atMs;
        }
        if (atMs >= this.faultAtMs && this.window.length - this.first >= LEAST_WINDOW_CALLS) {
            this.highest = Math.max(this.highest, this.share);
        }
    }

    markFault(atMs: number): void {
        this.faultAtMs = atMs;
        this.atFault = this.window.length - this.first >= LEAST_WINDOW_CALLS ? this.share : 0;
    }

    private get share(): number {
        return this.newCount / Math.max(1, this.window.length - this.first);
    }
}

/** Nodes that run the present code. */
class CurrentContender implements Contender {
    doneAtMs: number | undefined;
    stoppedAtMs: number | undefined;
    sharedBytes = 0;
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
            const journal = new MemoryJournal(this.log, clock, tried.logCut && index % DOMAIN_COUNT === 0);
            const dissemination = hub.join(node.id);
            const publish = dissemination.publish.bind(dissemination);
            dissemination.publish = (topic, key, data) => {
                this.sharedBytes += data.length;
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
                    table: makeTable(clock),
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

    record(node: number, figures: AttemptResult): void {
        this.managers[node].attempts.recordAttempt(figures);
    }

    step(nowMs: number): void {
        for (const journal of this.journals) {
            journal.read();
        }
        for (const [index, manager] of this.managers.entries()) {
            if ((nowMs + index * STEP_MS) % STEP_INTERVAL_MS === 0) {
                manager.step();
            }
        }
        const rollout = this.journals[1].registry.get(ROLLOUT);
        if (rollout?.phase === RolloutPhase.Done) {
            this.doneAtMs ??= nowMs;
        }
        if (rollout?.phase === RolloutPhase.RolledBack) {
            this.stoppedAtMs ??= nowMs;
        }
    }

    get evidence(): string {
        const rollout = this.journals[1].registry.get(ROLLOUT);
        return rollout?.reason ?? "";
    }

    private start(tried: RolloutCase): void {
        const startMs = this.clock.now();
        const started: NewRolloutRecord = {
            kind: RolloutRecordKind.Started,
            id: "started",
            author: "operator",
            rollout: ROLLOUT,
            pool: "language-model",
            version: "new",
            fromVersion: "old",
            startMs,
            deadlineMs: startMs + tried.lifeMs,
            neededServers: 0,
        };
        this.log.push(started);
        for (const journal of this.journals) {
            journal.read(true);
        }
    }
}

/** Nodes that run the naive code; a rollback reaches all nodes by the log. */
class NaiveContender implements Contender {
    doneAtMs: number | undefined;
    stoppedAtMs: number | undefined;
    readonly evidence = "";
    readonly sharedBytes = 0;
    private readonly nodes: LinearRollout[];

    constructor(private readonly tried: RolloutCase, startMs: number) {
        this.nodes = Array.from({ length: NODE_COUNT }, () => new LinearRollout(startMs, startMs + tried.lifeMs));
    }

    usesNew(node: number, callId: string, operation: string, nowMs: number): boolean {
        return callFraction(callId, ROLLOUT) < this.nodes[node].share(nowMs);
    }

    record(node: number, figures: AttemptResult): void {
        this.nodes[node].record(figures);
    }

    step(nowMs: number): void {
        if (this.nodes.some(node => node.stopped)) {
            this.stoppedAtMs ??= nowMs;
            for (const [index, node] of this.nodes.entries()) {
                node.stopped ||= !this.tried.logCut || index % DOMAIN_COUNT !== 0;
            }
        }
        if (this.stoppedAtMs === undefined && this.nodes.every(node => node.share(nowMs) === 1)) {
            this.doneAtMs ??= nowMs;
        }
    }
}

/** Journal of one node over a log in memory. */
class MemoryJournal extends RolloutJournal {
    override readonly registry = new RolloutRegistry();
    override lastContactMs = 0;
    private nextOffset = 0;

    constructor(private readonly log: NewRolloutRecord[], private readonly clock: VirtualClock, private readonly cut: boolean) {
        super();
    }

    /** Reads the records that have come, unless the log is out of reach. */
    read(always = false): void {
        if (this.cut && !always) {
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
        if (this.cut) {
            return undefined;
        }
        this.log.push(record);
        this.read();
        return this.registry.outcome(record.id);
    }
}

function makeTable(clock: VirtualClock): BackendTable {
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
