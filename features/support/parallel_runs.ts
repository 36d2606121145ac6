/**
 * Scenarios that may run at the same time, in the processes of one test run.
 *
 * @module
 */

import { parallelCanAssignHelpers, setParallelCanAssign } from "@cucumber/cucumber";

// Scenarios in real time would lengthen each other; those under a virtual clock take no time of their own.
setParallelCanAssign(parallelCanAssignHelpers.atMostOnePicklePerTag(["@loopback"]));
