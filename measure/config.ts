/**
 * Experiment: delay from acceptance of a configuration change to its activation, version regressions and cost per node.
 *
 * @module
 */

import { SeededRandom } from "../src/state/mod.js";
import { CHANGES_PER_DAY, measureCost } from "./config_cost.js";
import { measureFleet, type PhaseFigures } from "./config_fleet.js";
import type { Experiment, Figures, Report, Target } from "./experiment.js";
import { drawPollingDelays, pollingBytesPerSecond } from "./naive/polling_configuration.js";

/** Numbers of daemons in the fleets. */
const FLEET_SIZES = [3, 9, 27];

/** Highest allowed activation delay for 99 in 100 activations, in milliseconds, as required by the users. */
const MAX_ACTIVATION_DELAY_MS = 4_000;

/** Changes simulated in each phase of the naive configuration. */
const NAIVE_CHANGES = 100;

/** Isolation of the naive configuration from the log, in milliseconds; the fleet's isolation phases last about as long. */
const NAIVE_ISOLATION_MS = 8_000;

/** Measures the activation delay of configuration changes and its cost. */
export const configExperiment: Experiment = {
    name: "config",
    summary: "delay from acceptance to activation over 3, 9 and 27 daemons, connected and with one domain isolated from the log",
    run: runConfig,
};

async function runConfig(seed: number): Promise<Report> {
    const phases: PhaseFigures[] = [];
    const idleBytesPerSecond: number[] = [];
    let reverts = 0;
    for (const size of FLEET_SIZES) {
        const figures = await measureFleet(size);
        phases.push(...figures.phases);
        reverts += figures.reverts;
        idleBytesPerSecond.push(figures.idleLogBytesPerSecond);
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
        current: { inForce: phases.map(toRow), reverts, idleLogBytesPerSecond: Math.max(...idleBytesPerSecond), ...cost },
        targets,
    };
}

function measureNaive(seed: number, documentBytes: number): Figures {
    const random = new SeededRandom(seed);
    const connected = drawPollingDelays({ nodes: 27, changes: NAIVE_CHANGES, isolationMs: 0, random });
    const isolated = drawPollingDelays({ nodes: 9, changes: NAIVE_CHANGES, isolationMs: NAIVE_ISOLATION_MS, random });
    return {
        wholeP50Ms: quantile(connected, 0.5),
        wholeP99Ms: quantile(connected, 0.99),
        cutDomainP99Ms: quantile(isolated, 0.99),
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
