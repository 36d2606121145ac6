/**
 * Experiment: failure detection time, false suspicions and cost per node for fleets of 4 to 64 processes.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { MemberGroup, type MemberNode } from "./_member_group.js";
import type { MemberFigures } from "./_member_message.js";
import type { Experiment, Figures, Report } from "./experiment.js";

/** Fleet sizes. */
const SIZES = [4, 8, 16, 32, 64];

/** Fleet sizes at which the naive membership is measured as well. */
const NAIVE_SIZES = [4, 8, 16, 32];

/** Fleet size that the cost targets are stated for. */
const TARGET_NODES = 370;

/** Time for a fleet to converge after its start, in milliseconds. */
const WARM_UP_MS = 8_000;

/** Time over which the cost per node is measured, in milliseconds. */
const COST_WINDOW_MS = 10_000;

/** Time for which one node is paused and another one overloaded, in seconds. */
const FAULT_SECONDS = 6;

/** Time after the faults during which suspicions and removals are still counted, in milliseconds. */
const FAULT_SETTLE_MS = 4_000;

/** Rounds of crashes; each kills one node of each failure domain. */
const CRASH_ROUNDS = 3;

/** Time for the other nodes to detect a crash, in milliseconds. */
const DETECTION_WAIT_MS = 6_000;

/** Targets: cost per node at {@linkcode TARGET_NODES} nodes, and 99th percentile of the detection time. */
const MAX_CORE_PERCENT = 1.6;
const MAX_MEMORY_MB = 256;
const MAX_BYTES_PER_SECOND = 7_000;
const MAX_DETECTION_MS = 5_000;

/** Units of the figures; 1 % of a core is 10,000 microseconds of CPU time per second. */
const BYTES_PER_MEGABYTE = 1_048_576;
const MS_PER_SECOND = 1_000;
const MICROS_PER_PERCENT = 10_000;

/** Results of one fleet size. */
interface SizeFigures {
    readonly nodes: number;
    readonly corePercent: number;
    readonly memoryMb: number;
    readonly messageBytesPerSecond: number;
    readonly socketBytesPerSecond: number;
    readonly deferredPerNode: number;
    readonly healthySuspected: number;
    readonly liveRemoved: number;
    readonly deaths: number;
    readonly unnoticed: number;
    readonly detectionsMs: readonly number[];
}

/** Measures fleets of growing size. */
export const membershipExperiment: Experiment = {
    name: "membership",
    summary: "failure detection time, false suspicions and cost per node over 4 to 64 member processes",
    async run(seed: number): Promise<Report> {
        const naive: SizeFigures[] = [];
        for (const size of NAIVE_SIZES) {
            naive.push(await measureSize(size, { seed, naive: true }));
        }
        const current: SizeFigures[] = [];
        for (const size of SIZES) {
            current.push(await measureSize(size, { seed, naive: false }));
        }
        return {
            scenario: "membership",
            seed,
            baseline: toFigures(naive),
            current: toFigures(current),
            targets: listTargets(current),
        };
    },
};

async function measureSize(size: number, settings: { readonly seed: number; readonly naive: boolean }): Promise<SizeFigures> {
    const group = await MemberGroup.start(size, failureDomainCount(size), settings);
    try {
        await sleep(WARM_UP_MS);
        const cost = await measureCost(group);
        const faults = await injectFaults(group);
        const deaths = await injectCrashes(group);
        return { nodes: size, ...cost, ...faults, ...deaths };
    }
    finally {
        group.stop();
    }
}

/** Returns the number of failure domains; a domain needs at least two nodes to detect a crash within it. */
function failureDomainCount(size: number): number {
    return size <= 8 ? 2 : 4;
}

async function measureCost(group: MemberGroup) {
    const before = await Promise.all(group.live.map(node => node.readFigures()));
    await sleep(COST_WINDOW_MS);
    const after = await Promise.all(group.live.map(node => node.readFigures()));
    const rate = (pick: (figures: MemberFigures) => number) =>
        mean(after.map((figures, index) => pick(figures) - pick(before[index]))) * MS_PER_SECOND / COST_WINDOW_MS;
    return {
        corePercent: rate(figures => figures.cpuMicros) / MICROS_PER_PERCENT,
        memoryMb: mean(after.map(figures => figures.rssBytes)) / BYTES_PER_MEGABYTE,
        messageBytesPerSecond: rate(figures => figures.messageBytes),
        socketBytesPerSecond: rate(figures => figures.socketBytes),
        deferredPerNode: mean(after.map(figures => figures.deferred)),
    };
}

/** Pauses one node for longer than the suspicion timeout and overloads another one. */
async function injectFaults(group: MemberGroup) {
    const [paused, overloaded] = group.live;
    const startMs = Date.now();
    overloaded.send({ kind: "overload", seconds: FAULT_SECONDS });
    paused.sendSignal("SIGSTOP");
    await sleep(FAULT_SECONDS * MS_PER_SECOND);
    paused.sendSignal("SIGCONT");
    await sleep(FAULT_SETTLE_MS);
    const changes = group.live.flatMap(node => node.changes).filter(change => change.atMs >= startMs);
    const faulty = new Set([paused.vm.id, overloaded.vm.id]);
    const isHealthy = (id: string) => !faulty.has(id);
    return {
        healthySuspected: changes.filter(({ id, state }) => state === "suspect" && isHealthy(id)).length,
        // The removal of the paused node is correct, since the pause exceeds the suspicion timeout.
        liveRemoved: changes.filter(({ id, state }) => state === "dead" && id !== paused.vm.id).length,
    };
}

async function injectCrashes(group: MemberGroup) {
    const detectionsMs: number[] = [];
    let deaths = 0;
    let unnoticed = 0;
    for (let round = 0; round < CRASH_ROUNDS; round += 1) {
        const crashedNodes = pickNodesToCrash(group);
        const crashedAtMs = Date.now();
        for (const crashed of crashedNodes) {
            crashed.kill();
        }
        await sleep(DETECTION_WAIT_MS);
        deaths += crashedNodes.length;
        for (const crashed of crashedNodes) {
            const observers = group.live.filter(node => node.vm.failureDomain === crashed.vm.failureDomain);
            for (const observer of observers) {
                const detection = observer.changes.find(each =>
                    each.id === crashed.vm.id && each.state === "dead" && each.atMs >= crashedAtMs
                );
                unnoticed += detection === undefined ? 1 : 0;
                detectionsMs.push(detection === undefined ? Infinity : detection.atMs - crashedAtMs);
            }
        }
    }
    return { deaths, unnoticed, detectionsMs };
}

/** Returns one live node of each failure domain that has at least two. */
function pickNodesToCrash(group: MemberGroup): readonly MemberNode[] {
    const domains = new Map<string, MemberNode[]>();
    for (const node of group.live) {
        const nodes = domains.get(node.vm.failureDomain) ?? [];
        nodes.push(node);
        domains.set(node.vm.failureDomain, nodes);
    }
    return [...domains.values()].filter(nodes => nodes.length > 1).map(nodes => nodes[nodes.length - 1]);
}

function toFigures(sizes: readonly SizeFigures[]): Figures {
    const rows = sizes.map(({ detectionsMs, ...figures }) => ({
        ...figures,
        detectionP50Ms: quantile(detectionsMs, 0.5),
        detectionP99Ms: quantile(detectionsMs, 0.99),
    }));
    return {
        sizes: rows,
        slopes: (["corePercent", "memoryMb", "messageBytesPerSecond", "socketBytesPerSecond"] as const).map(name => {
            const line = fitLine(sizes.map(figures => [figures.nodes, figures[name]]));
            return { figure: name, perNode: line.slope, at370: line.at(TARGET_NODES) };
        }),
    };
}

function listTargets(sizes: readonly SizeFigures[]): Report["targets"] {
    // A negative slope must not extrapolate below the cost already measured at a smaller size.
    const at370 = (name: "corePercent" | "memoryMb" | "messageBytesPerSecond") =>
        Math.max(
            fitLine(sizes.map(figures => [figures.nodes, figures[name]])).at(TARGET_NODES),
            ...sizes.map(figures => figures[name]),
        );
    const detections = sizes.flatMap(figures => figures.detectionsMs);
    const total = (name: "liveRemoved" | "healthySuspected") => sizes.reduce((sum, figures) => sum + figures[name], 0);
    const atMost = (name: string, measured: number, bound: number) => ({ name, measured, comparison: "at most" as const, bound });
    return [
        atMost("control at 370 nodes, % of a core", at370("corePercent"), MAX_CORE_PERCENT),
        atMost("memory at 370 nodes, MB", at370("memoryMb"), MAX_MEMORY_MB),
        atMost("messages at 370 nodes, bytes a second", at370("messageBytesPerSecond"), MAX_BYTES_PER_SECOND),
        atMost("death noticed in its domain, p99, ms", quantile(detections, 0.99), MAX_DETECTION_MS),
        atMost("live nodes removed", total("liveRemoved"), 0),
    ];
}

/** Fits a straight line to the points by least squares. */
function fitLine(points: readonly (readonly [number, number])[]) {
    const meanX = mean(points.map(([x]) => x));
    const meanY = mean(points.map(([, y]) => y));
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = covariance / variance;
    return { slope, at: (x: number) => meanY + slope * (x - meanX) };
}

function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)] ?? Infinity;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
