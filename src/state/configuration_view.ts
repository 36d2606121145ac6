/**
 * Indexed view of the configuration in effect.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { type Clock, SystemClock } from "./clock.js";
import {
    type Configuration,
    EMPTY_CONFIGURATION,
    type Operation,
    type Pool,
    type ServiceRoute,
    type Tier,
    type Workspace,
} from "./configuration.js";
import {
    applyExceptions,
    nextExceptionExpiryMs,
    resolveWorkspaceOperations,
    type WorkspaceOperations,
} from "./configuration_exception.js";

/** Plain-service route with the operation it belongs to. */
interface RoutedOperation {
    readonly route: ServiceRoute;
    readonly operation: Operation;
}

/** Plain-service call to be matched against the routes. */
export interface ServiceCall {
    readonly service: string;
    /** HTTP method in upper case. */
    readonly method: string;
    /** Path below the service, with a leading slash. */
    readonly path: string;
}

/**
 * Holds the configuration in effect and indexes it, so that look-ups by name or key take constant time.
 *
 * Exceptions expire by the clock of this node: the first look-up after an expiry rebuilds the indexes without the exception.
 */
export class ConfigurationView {
    /** Emits each effective configuration when it takes effect. */
    readonly changes: Stream<Configuration>;
    private readonly publish: (configuration: Configuration) => void;
    private publishedConfiguration = EMPTY_CONFIGURATION;
    private effectiveConfiguration = EMPTY_CONFIGURATION;
    private nextExpiryMs = Infinity;
    private tiers = new Map<string, Tier>();
    private pools = new Map<string, Pool>();
    private operations = new Map<string, Operation>();
    private workspaceOverrides: ReadonlyMap<string, WorkspaceOperations> = new Map();
    private workspaces = new Map<string, Workspace>();
    private routes: readonly RoutedOperation[] = [];

    /** @param clock Clock by which exceptions expire. Defaults to the system clock. */
    constructor(private readonly clock: Clock = new SystemClock()) {
        [this.publish, this.changes] = createAdapter<Configuration>();
    }

    /** Effective configuration, with all unexpired exceptions applied. */
    get current(): Configuration {
        this.refreshIfExpired();
        return this.effectiveConfiguration;
    }

    /** Configuration as published in the log: the defaults and, separately, the list of exceptions. */
    get published(): Configuration {
        return this.publishedConfiguration;
    }

    /**
     * Puts a configuration into effect, unless the same or a later version already is.
     *
     * @returns Whether the configuration took effect.
     */
    advance(next: Configuration): boolean {
        if (next.version <= this.publishedConfiguration.version) {
            return false;
        }
        this.publishedConfiguration = next;
        this.rebuildIndexes();
        return true;
    }

    /** Returns the tier with the given name. */
    tier(name: string): Tier | undefined {
        this.refreshIfExpired();
        return this.tiers.get(name);
    }

    /** Returns the pool with the given name. */
    pool(name: string): Pool | undefined {
        this.refreshIfExpired();
        return this.pools.get(name);
    }

    /**
     * Returns the operation with the given name.
     *
     * @param name Name of the operation.
     * @param workspace Workspace whose exceptions apply, if any.
     */
    operation(name: string, workspace?: string): Operation | undefined {
        this.refreshIfExpired();
        const override = workspace === undefined ? undefined : this.workspaceOverrides.get(workspace)?.get(name);
        return override ?? this.operations.get(name);
    }

    /** Returns the workspace whose bearer key has the given hash. */
    workspaceByKeyHash(keyHash: string): Workspace | undefined {
        this.refreshIfExpired();
        return this.workspaces.get(keyHash);
    }

    /**
     * Returns the operation that covers a plain-service call.
     *
     * @param call Call to match.
     * @param workspace Workspace whose exceptions apply, if any.
     */
    operationByRoute(call: ServiceCall, workspace?: string): Operation | undefined {
        this.refreshIfExpired();
        for (const { route, operation } of this.routes) {
            if (route.service === call.service && route.method === call.method && coversPath(route.pathPrefix, call.path)) {
                return this.operation(operation.name, workspace);
            }
        }
        return undefined;
    }

    private refreshIfExpired(): void {
        if (this.clock.now() >= this.nextExpiryMs) {
            this.rebuildIndexes();
        }
    }

    private rebuildIndexes(): void {
        const nowMs = this.clock.now();
        const document = applyExceptions(this.publishedConfiguration.document, nowMs);
        const { tiers, pools, operations, workspaces } = document;
        this.effectiveConfiguration = { version: this.publishedConfiguration.version, document };
        this.nextExpiryMs = nextExceptionExpiryMs(document, nowMs);
        this.tiers = new Map(tiers.map(tier => [tier.name, tier]));
        this.pools = new Map(pools.map(pool => [pool.name, pool]));
        this.operations = new Map(operations.map(operation => [operation.name, operation]));
        this.workspaceOverrides = resolveWorkspaceOperations(document, nowMs);
        this.workspaces = new Map(workspaces.map(workspace => [workspace.keyHash, workspace]));
        this.routes = operations
            .flatMap(operation => operation.routes.map(route => ({ route, operation })))
            .sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
        this.publish(this.effectiveConfiguration);
    }
}

function coversPath(prefix: string, path: string): boolean {
    return path === prefix || prefix.endsWith("/") && path.startsWith(prefix) || path.startsWith(`${prefix}/`);
}
