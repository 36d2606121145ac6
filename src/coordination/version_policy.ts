/**
 * Choice of the version that each call runs on.
 *
 * @module
 */

import type { BackendServer } from "../state/mod.js";

/** What the choice depends on. */
export interface VersionQuery {
    /** Id of the call; the same id always gets the same version at the same share. */
    readonly callId: string;
    readonly operation: string;
    readonly pool: string;
    /** Whether an attempt of the call has failed before. */
    readonly retry: boolean;
}

/** Versions that one call may run on. */
export interface VersionChoice {
    /** Versions to use, the best first; any other version comes after them. */
    readonly preferred: readonly string[];
    /** Versions that may not be used at all, also when nothing else is left. */
    readonly forbidden: ReadonlySet<string>;
}

/** Says which version a call should use. */
export abstract class VersionPolicy {
    /** Chooses the version of one call. */
    abstract choose(query: VersionQuery): VersionChoice;
}

/** Lets every call run on every version. */
export class AnyVersion extends VersionPolicy {
    override choose(): VersionChoice {
        return { preferred: [], forbidden: new Set() };
    }
}

/**
 * Keeps the backend servers that a choice leaves, those of the best version that has any.
 *
 * A backend server whose version is not known yet is left out while a version of the pool is forbidden.
 *
 * @param servers Backend servers that take work.
 * @param choice Versions that the call may run on.
 */
export function selectByVersion(servers: readonly BackendServer[], choice: VersionChoice): readonly BackendServer[] {
    const allowed = servers.filter(server => isAllowed(server.report?.version, choice.forbidden));
    for (const version of choice.preferred) {
        const matching = allowed.filter(server => server.report?.version === version);
        if (matching.length > 0) {
            return matching;
        }
    }
    return allowed;
}

function isAllowed(version: string | undefined, forbidden: ReadonlySet<string>): boolean {
    return version === undefined ? forbidden.size === 0 : !forbidden.has(version);
}
