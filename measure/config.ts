/**
 * Experiment: time from accepted to in force, reverts, and a node's cost.
 *
 * @module
 */

import { SeededRandom } from "../src/state/mod.js";
import { CHANGES_PER_DAY, measureCost } from "./config_cost.js";
import { measureFleet, type PhaseFigures } from "./config_fleet.js";
import type { Experiment, Figures, Report, Target } from "./experiment.js";
import { drawPollingDelays, pollingBytesPerSecond } from "./naive/polling_configuration.js";

/** Numbers of daemons. */
const FLEET_SIZES = [3, 9, 27];

/** Longest time from accepted to in force for 99 in 100, in milliseconds, as the users state it. */
const MAX_ACTIVATION_DELAY_MS = 4_000;

/** Changes of each phase of the naive version. */
const NAIVE_CHANGES = 100;

/** Length of the cut of the naive version, in milliseconds; the fleet's cut phases last about as long. */
const NAIVE_ISOLATION_MS = 8_000;

/** Measures how fast and at what cost configuration comes into force. */
export const configExperiment: Experiment = {
    name: "config",
    summary: "time from accepted to in force over 3, 9 and 27 daemons, whole and with one domain cut off from the log",
    run: runConfig,
};

async function runConfig(seed: number): Promise<Report> {
    const phases: PhaseFigures[] = [];
    const idle: number[] = [];
    let reverts = 0;
    for (const size of FLEET_SIZES) {
        const figures = await measureFleet(size);
        phases.push(...figures.phases);
        reverts += figures.reverts;
        idle.push(figures.idleLogBytesPerSecond);
    }
    const cost = await measureCost(seed);
    const targets: Target[] = phases.map(({ daemons, phase, delaysMs }) => ({
        name: `p99 in force, ${daemons} daemons, ${phase} (ms)`,
        measured: quantile(delaysMs, 0.99),
        comparison: "at most",
        bound: MAX_ACTIVATION_DELAY_MS,
    }));
    targets.push({ name: "reverts", measured: reverts, comparison: "at most", bound: 0 });
    return {
        scenario: "config",
        seed,
        baseline: measureNaive(seed, cost.documentBytes),
        current: { inForce: phases.map(toRow), reverts, idleLogBytesPerSecond: Math.max(...idle), ...cost },
        targets,
    };
}

function measureNaive(seed: number, documentBytes: number): Figures {
    const random = new SeededRandom(seed);
    const whole = drawPollingDelays({ nodes: 27, changes: NAIVE_CHANGES, isolationMs: 0, random });
    const cut = drawPollingDelays({ nodes: 9, changes: NAIVE_CHANGES, isolationMs: NAIVE_ISOLATION_MS, random });
    return {
        wholeP50Ms: quantile(whole, 0.5),
        wholeP99Ms: quantile(whole, 0.99),
        cutDomainP99Ms: quantile(cut, 0.99),
        nodeBytesPerSecond: pollingBytesPerSecond(documentBytes),
        appendedBytesPerDay: CHANGES_PER_DAY * documentBytes,
    };
}

function toRow({ daemons, phase, delaysMs }: PhaseFigures) {
    return {
        daemons,
        phase,
        samples: delaysMs.length,
        p50Ms: quantile(delaysMs, 0.5),
        p99Ms: quantile(delaysMs, 0.99),
        maxMs: quantile(delaysMs, 1),
    };
}

function quantile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)] ?? Infinity;
}
