/**
 * Faults of one version of a model engine's software.
 *
 * @module
 */

import type { EngineModel } from "./engine_model.js";

/** What is wrong with a version. */
export enum EngineVersionFault {
    None = "is good",
    Fails = "fails every call",
    Slow = "is three times slower",
}

/** Factor on the time of each step of a slow version. */
const SLOW_FACTOR = 3;

/**
 * Makes an engine run a version.
 *
 * @param engine Engine.
 * @param version Version that it reports from now on.
 * @param fault What is wrong with that version. Defaults to nothing.
 */
export function runVersion(engine: EngineModel, version: string, fault = EngineVersionFault.None): void {
    engine.version = version;
    engine.faults.serverError = fault === EngineVersionFault.Fails;
    engine.faults.slowFactor = fault === EngineVersionFault.Slow ? SLOW_FACTOR : 1;
}
