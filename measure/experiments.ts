/**
 * All experiments, by name.
 *
 * @module
 */

import { configExperiment } from "./config.js";
import { drainExperiment } from "./drain.js";
import type { Experiment } from "./experiment.js";
import { proxyExperiment } from "./proxy.js";
import { rolloutExperiment } from "./rollouts.js";

/** Experiments in the order in which the help lists them. */
export const experiments: readonly Experiment[] = [
    proxyExperiment,
    drainExperiment,
    configExperiment,
    rolloutExperiment,
];
