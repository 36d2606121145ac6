/**
 * Checks of settings files in YAML, for every kind of daemon.
 *
 * @module
 */

import { parseDocument } from "yaml";
import { z } from "zod";
import { describeIssue } from "../protocol/relay/mod.js";

/** IP number and port. */
export const addressSchema = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7001",
);

/** Takes an address of the settings apart. */
export function splitAddress(address: string): [host: string, port: number] {
    const [host, port] = address.split(":");
    return [host ?? "", Number(port)];
}

/** Settings file that is wrong; every problem is named. */
export class SettingsError extends Error {
    override readonly name = "SettingsError";

    /**
     * @param file Path of the file.
     * @param problems Sentences, each of which names the field, its value and what is allowed.
     */
    constructor(readonly file: string, readonly problems: readonly string[]) {
        super(`Cannot read settings ${file}:\n${problems.map(problem => `  ${problem}`).join("\n")}`);
    }
}

/**
 * Checks the text of a settings file.
 *
 * @param schema What the settings have to be.
 * @param text YAML text.
 * @param file Name used in errors.
 * @throws {SettingsError} When the text holds a wrong setting.
 */
export function parseSettingsFile<S extends z.ZodType>(schema: S, text: string, file: string): z.infer<S> {
    const document = parseDocument(text);
    if (document.errors.length > 0) {
        throw new SettingsError(file, document.errors.map(error => error.message));
    }
    const value: unknown = document.toJS();
    const result = schema.safeParse(value);
    if (!result.success) {
        throw new SettingsError(file, result.error.issues.map(issue => describeIssue(issue, "settings", value).text));
    }
    return result.data;
}
