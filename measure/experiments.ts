/**
 * All experiments, by name.
 *
 * @module
 */

import type { Experiment } from "./experiment.js";
import { membership } from "./membership.js";

/** Experiments in the order in which the help lists them. */
export const experiments: readonly Experiment[] = [membership];
