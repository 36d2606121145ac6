/**
 * Traits that calls may share and that may be why a call crashes a backend server.
 *
 * @module
 */

import { hashKey, type PromptPart } from "../../protocol/relay/mod.js";

/** Kinds of traits. */
export enum TraitKind {
    /** Part of the prompt that other calls share. */
    PromptPart = "prompt part",
    /** All that a caller sends again when it repeats a call. */
    Content = "content",
}

/** Trait of a call. */
export interface CallTrait {
    readonly kind: TraitKind;
    /** Key in reports. */
    readonly key: number;
    /** Name in log lines: the id of the part, or the fingerprint of the content. */
    readonly name: string;
}

/**
 * Returns the traits of a call: all parts of its prompt but the last, which belongs to the call alone, and its content.
 *
 * @param parts Parts of its prompt, in order.
 * @param fingerprint Fingerprint of its content.
 */
export function traitsOf(parts: readonly PromptPart[], fingerprint: number): readonly CallTrait[] {
    const traits = parts.slice(0, -1).map(({ id }) => ({ kind: TraitKind.PromptPart, key: hashKey(id), name: id }));
    const name = fingerprint.toString(16);
    return [...traits, { kind: TraitKind.Content, key: hashKey(`content ${name}`), name }];
}
