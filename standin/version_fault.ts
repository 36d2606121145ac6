/**
 * Simulated faults of a software version of an engine.
 *
 * @module
 */

import type { EngineModel } from "./engine_model.js";

/** Fault of a software version. */
export enum EngineVersionFault {
    None = "is good",
    Fails = "fails every call",
    Slow = "is three times slower",
}

/** Factor applied to the step duration by a slow version. */
const SLOW_FACTOR = 3;

/**
 * Switches an engine to a software version.
 *
 * @param engine Engine to change.
 * @param version Version that the engine reports from now on.
 * @param fault Fault of the version. Defaults to none.
 */
export function runVersion(engine: EngineModel, version: string, fault = EngineVersionFault.None): void {
    engine.version = version;
    engine.faults.serverError = fault === EngineVersionFault.Fails;
    engine.faults.slowFactor = fault === EngineVersionFault.Slow ? SLOW_FACTOR : 1;
}
