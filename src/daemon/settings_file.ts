/**
 * Parsing and validation of YAML settings files, shared by all kinds of daemons.
 *
 * @module
 */

import { parseDocument } from "yaml";
import { z } from "zod";
import { describeIssue } from "../protocol/relay/mod.js";

/** Schema of an IPv4 address with a port. */
export const addressSchema = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7001",
);

/** Splits an address that matches {@linkcode addressSchema} into host and port. */
export function splitAddress(address: string): [host: string, port: number] {
    const [host, port] = address.split(":");
    return [host ?? "", Number(port)];
}

/** Error of an unreadable or invalid settings file; lists every problem. */
export class SettingsError extends Error {
    override readonly name = "SettingsError";

    /**
     * @param file Path of the file.
     * @param problems Descriptions of the problems; a validation problem names the field, its value and what is allowed.
     */
    constructor(readonly file: string, readonly problems: readonly string[]) {
        super(`Cannot read settings ${file}:\n${problems.map(problem => `  ${problem}`).join("\n")}`);
    }
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param schema Schema of the settings.
 * @param text YAML text.
 * @param file File name for error messages.
 * @throws {SettingsError} If the text is malformed or contains an invalid setting.
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
