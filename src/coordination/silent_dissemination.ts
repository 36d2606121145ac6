/**
 * Dissemination of a node that has no peers.
 *
 * @module
 */

import { never } from "@most/core";
import { Dissemination, type SharedValue } from "../protocol/mod.js";

/** Shares nothing and receives nothing. */
export class SilentDissemination extends Dissemination {
    override readonly arrivals = never();

    override publish(): void {
        // There is no peer to tell.
    }

    override read(): readonly SharedValue[] {
        return [];
    }
}
