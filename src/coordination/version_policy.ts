/**
 * Policy that selects the backend version of each call during a rollout.
 *
 * @module
 */

import type { BackendServer } from "../state/mod.js";

/** Properties of a call that the choice of its version depends on. */
export interface VersionQuery {
    /** Id of the call; for the same traffic share, the same id always gets the same version. */
    readonly callId: string;
    readonly operation: string;
    readonly pool: string;
    /** Whether an earlier attempt of the call has failed. */
    readonly retry: boolean;
}

/** Preferred and forbidden versions of one call. */
export interface VersionChoice {
    /** Preferred versions, best first. Other versions are used only when no server runs a preferred one. */
    readonly preferred: readonly string[];
    /** Versions that must not be used, even when no other is available. */
    readonly forbidden: ReadonlySet<string>;
}

/** Chooses the version that a call should use. */
export abstract class VersionPolicy {
    /** Chooses the version of one call. */
    abstract choose(query: VersionQuery): VersionChoice;
}

/** Allows every call on every version, without preference. */
export class AnyVersion extends VersionPolicy {
    override choose(): VersionChoice {
        return { preferred: [], forbidden: new Set() };
    }
}

/**
 * Selects the allowed backend servers that run the most preferred version; all allowed ones if none runs a preferred version.
 *
 * A backend server whose version is not known yet is excluded while any version is forbidden.
 *
 * @param servers Backend servers that accept requests.
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
