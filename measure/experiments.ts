/**
 * All experiments, by name.
 *
 * @module
 */

import type { Experiment } from "./experiment.js";
import { rolloutExperiment } from "./rollouts.js";

/** Experiments in the order in which the help lists them. */
export const experiments: readonly Experiment[] = [rolloutExperiment];
