/**
 * All experiments, by name.
 *
 * @module
 */

import type { Experiment } from "./experiment.js";
import { schedulingExperiment } from "./scheduling.js";

/** Experiments in the order in which the help lists them. */
export const experiments: readonly Experiment[] = [schedulingExperiment];
