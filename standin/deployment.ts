/**
 * Example deployments, read from the YAML files in `examples/`.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { z } from "zod";
import { checkDocument, encodeConfigurationRecord } from "../src/protocol/mod.js";
import { changesBetween, type ConfigurationDocument, EMPTY_CONFIGURATION } from "../src/state/mod.js";

const workspaceSchema = z.object({ name: z.string(), key: z.string() });

const deploymentSchema = z.strictObject({
    region: z.string(),
    failureDomains: z.array(z.string()).min(1),
    entryVms: z.array(z.strictObject({ failureDomain: z.string() })).min(1),
    pools: z.array(z.strictObject({
        name: z.string(),
        kind: z.enum(["model", "service"]),
        servers: z.array(z.strictObject({ profile: z.enum(["slow", "medium", "fast"]).default("medium") })),
    })),
    workspaces: z.array(workspaceSchema),
    configuration: z.object({ tiers: z.array(z.unknown()), operations: z.array(z.unknown()) }),
});

/** Contents of a deployment file. */
export type Deployment = z.infer<typeof deploymentSchema>;

/**
 * Reads a deployment.
 *
 * @param file Path of the YAML file.
 */
export async function readDeployment(file: string): Promise<Deployment> {
    return deploymentSchema.parse(parse(await readFile(file, "utf8")));
}

/** Returns the SHA-256 digest of a key in hexadecimal. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/**
 * Builds the configuration of a deployment.
 *
 * @throws {Error} When the configuration is invalid; the error lists each problem.
 */
export function toDocument(deployment: Deployment): ConfigurationDocument {
    const checked = checkDocument({
        ...deployment.configuration,
        pools: deployment.pools.map(({ name, kind }) => ({ name, kind })),
        workspaces: deployment.workspaces.map(({ name, key }) => ({ name, keyHash: hashKey(key) })),
    });
    if (checked.problems !== undefined) {
        throw new Error(`Cannot use deployment:\n${checked.problems.join("\n")}`);
    }
    return checked.document;
}

/**
 * Returns the first record of the configuration stream, which sets the complete document.
 *
 * @param document Configuration of the deployment.
 */
export function toInitialRecord(document: ConfigurationDocument): Uint8Array {
    const changes = changesBetween(EMPTY_CONFIGURATION.document, document);
    return encodeConfigurationRecord({ id: "initial", madeAgainst: -1, author: "launcher", atMs: 0, changes });
}
