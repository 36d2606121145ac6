/**
 * Registry of all experiments.
 *
 * @module
 */

import { claimsExperiment } from "./claims.js";
import { configExperiment } from "./config.js";
import { drainExperiment } from "./drain.js";
import type { Experiment } from "./experiment.js";
import { holdUpsExperiment } from "./hold_ups.js";
import { membershipExperiment } from "./membership.js";
import { placementExperiment } from "./placement.js";
import { proxyExperiment } from "./proxy.js";
import { rolloutExperiment } from "./rollouts.js";
import { schedulingExperiment } from "./scheduling.js";
import { schedulingDecisionsExperiment } from "./scheduling_decisions.js";
import { buildsExperiment, changesExperiment, refusalsExperiment, soakExperiment } from "./soak.js";

/** Experiments, in the order in which they are listed to the user. */
export const experiments: readonly Experiment[] = [
    proxyExperiment,
    claimsExperiment,
    drainExperiment,
    membershipExperiment,
    configExperiment,
    schedulingExperiment,
    schedulingDecisionsExperiment,
    rolloutExperiment,
    placementExperiment,
    soakExperiment,
    refusalsExperiment,
    changesExperiment,
    buildsExperiment,
    holdUpsExperiment,
];
