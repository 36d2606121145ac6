/**
 * Key of a backend server's incarnation in reports.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";

/** Returns the key of a server's incarnation; what is known by it does not hold for another one. */
export function incarnationKey({ id, startedAtMs }: RelayServer): number {
    return hashKey(`${id}@${startedAtMs}`);
}
