/**
 * Experiment: server selection, queueing and admission control in fleets of relay nodes.
 *
 * @module
 */

import type { Experiment, Figures, Report } from "./experiment.js";
import { RelaySimulation } from "./relay_simulation.js";
import { RELAY_CASES, type RelayCase } from "./relay_workload.js";
import { runContention } from "./workspace_contention.js";

/** Simulates each case with the scheduler of the relay; `overrides` replaces settings of the case, such as the report age. */
async function runCases(seed: number, overrides: Partial<RelayCase>): Promise<Figures> {
    const cases: Record<string, number | string>[] = [];
    for (const relayCase of RELAY_CASES) {
        const { kinds, earnedShare: earned, servedShare: served, utilization: busy } = await new RelaySimulation({
            ...relayCase,
            ...overrides,
        }, seed).run();
        const row: Record<string, number | string> = { case: relayCase.name, earned, served, busy };
        for (const [name, figures] of kinds) {
            row[`${name} in time`] = figures.inTime / figures.calls;
            row[`${name} late`] = figures.late / figures.calls;
            row[`${name} refused`] = figures.refused / figures.calls;
            row[`${name} earned`] = figures.earnedValue / figures.offeredValue;
        }
        cases.push(row);
    }
    return { cases };
}

/** Compares nodes that exchange periodic reports with nodes that know each other's calls at any moment. */
export const placementExperiment: Experiment = {
    name: "placement",
    summary:
        "value that callers of the relay receive by kind of call, compared with nodes that know each other's calls at any moment",
    run: async (seed): Promise<Report> => ({
        scenario: "placement",
        seed,
        baseline: await runCases(seed, { reportAgeMs: 0 }),
        current: { ...await runCases(seed, {}), ...await runContention(seed) },
        targets: [],
    }),
};
