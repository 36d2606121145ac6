/**
 * Look-ups in the configuration in force.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import {
    type Configuration,
    EMPTY_CONFIGURATION,
    type Operation,
    type ServiceRoute,
    type Tier,
    type Workspace,
} from "./configuration.js";

/** Route of a plain service with the operation it belongs to. */
interface RoutedOperation {
    readonly route: ServiceRoute;
    readonly operation: Operation;
}

/** Holds the configuration in force and answers look-ups in constant time. */
export class ConfigurationView {
    /** Configurations as they come into force. */
    readonly changes: Stream<Configuration>;
    private readonly publish: (configuration: Configuration) => void;
    private configuration = EMPTY_CONFIGURATION;
    private tiers = new Map<string, Tier>();
    private operations = new Map<string, Operation>();
    private workspaces = new Map<string, Workspace>();
    private routes: readonly RoutedOperation[] = [];

    constructor() {
        [this.publish, this.changes] = createAdapter<Configuration>();
    }

    /** Configuration in force. */
    get current(): Configuration {
        return this.configuration;
    }

    /**
     * Brings a configuration into force, unless one of the same or a later version is.
     *
     * @returns Whether the configuration came into force.
     */
    advance(next: Configuration): boolean {
        if (next.version <= this.configuration.version) {
            return false;
        }
        this.configuration = next;
        this.index();
        this.publish(next);
        return true;
    }

    /** Returns the tier of that name. */
    tier(name: string): Tier | undefined {
        return this.tiers.get(name);
    }

    /** Returns the operation of that name. */
    operation(name: string): Operation | undefined {
        return this.operations.get(name);
    }

    /** Returns the workspace whose key has that hash. */
    workspaceByKeyHash(keyHash: string): Workspace | undefined {
        return this.workspaces.get(keyHash);
    }

    /**
     * Returns the operation that covers a call of a plain service.
     *
     * @param service Name of the service.
     * @param method HTTP method in upper case.
     * @param path Path below the service, beginning with a slash.
     */
    operationByRoute(service: string, method: string, path: string): Operation | undefined {
        for (const { route, operation } of this.routes) {
            if (route.service === service && route.method === method && coversPath(route.pathPrefix, path)) {
                return operation;
            }
        }
        return undefined;
    }

    private index(): void {
        const { tiers, operations, workspaces } = this.configuration.document;
        this.tiers = new Map(tiers.map(tier => [tier.name, tier]));
        this.operations = new Map(operations.map(operation => [operation.name, operation]));
        this.workspaces = new Map(workspaces.map(workspace => [workspace.keyHash, workspace]));
        this.routes = operations
            .flatMap(operation => operation.routes.map(route => ({ route, operation })))
            .sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
    }
}

function coversPath(prefix: string, path: string): boolean {
    return path === prefix || prefix.endsWith("/") && path.startsWith(prefix) || path.startsWith(`${prefix}/`);
}
