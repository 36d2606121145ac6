/**
 * In-memory state of the relay, which forwards opaque calls.
 *
 * @module
 */

export { afterArrivedInput } from "../arrived_input.js";
export { BlockBuffer } from "../block_buffer.js";
export { type Clock, SystemClock } from "../clock.js";
export { Semantics } from "../configuration.js";
export { GrowingBuffer } from "../growing_buffer.js";
export { MemoryBudget, type MemoryShare } from "../memory_budget.js";
export { type RandomSource, SeededRandom } from "../random.js";
export { startTimeLimit } from "../time_limit.js";
export * from "./relay_configuration.js";
export * from "./relay_route.js";
export * from "./relay_server.js";
