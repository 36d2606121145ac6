/**
 * The chat-completions convention that callers use.
 *
 * @module
 */

import { z } from "zod";
import { hashPrefix } from "./prefix_blocks.js";
import { Refusal, RefusalType } from "./refusal.js";
import { describeIssue } from "./schema_problem.js";

/** Most tokens that an answer may have when the caller names no limit. */
const DEFAULT_MAX_OUTPUT_TOKENS = 512;

/** Most tokens that a caller may ask for. */
const MAX_OUTPUT_TOKENS = 16_384;

/** Bytes of text that make up one token, on average. */
const BYTES_PER_TOKEN = 4;

const messageSchema = z.looseObject({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.string(),
});

const chatCompletionSchema = z.looseObject({
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1),
    stream: z.boolean().default(false),
    max_tokens: z.int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_MAX_OUTPUT_TOKENS),
});

/** What the scheduler needs of a chat-completions request. */
export interface ChatCompletion {
    readonly model: string;
    readonly streamed: boolean;
    readonly maxOutputTokens: number;
    /** Estimated length of the prompt in tokens. */
    readonly promptTokens: number;
    /** Blocks of the prompt's prefix. */
    readonly prefixBlocks: readonly string[];
}

/**
 * Reads and checks a chat-completions body.
 *
 * @param body Body as JSON.
 * @throws {Refusal} When the body is malformed; the refusal names the field.
 */
export function parseChatCompletion(body: Buffer): ChatCompletion {
    const result = chatCompletionSchema.safeParse(parseJson(body));
    if (!result.success) {
        const problem = describeIssue(result.error.issues[0], "body");
        throw new Refusal(RefusalType.InvalidRequest, problem.text, { field: problem.path });
    }
    const prompt = result.data.messages.map(message => message.content).join("\n");
    return {
        model: result.data.model,
        streamed: result.data.stream,
        maxOutputTokens: result.data.max_tokens,
        promptTokens: Math.max(1, Math.ceil(prompt.length / BYTES_PER_TOKEN)),
        prefixBlocks: hashPrefix(prompt),
    };
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (cause) {
        throw new Refusal(RefusalType.InvalidRequest, `Body is not JSON: ${(cause as Error).message}. Send a JSON object.`, {
            field: "body",
        });
    }
}

/** Settings of a streamed chunk. */
export interface ChunkSettings {
    readonly id: string;
    readonly model: string;
    /** Text of the chunk; empty in the last one. */
    readonly text: string;
    /** Reason for the end, in the last chunk only. */
    readonly finishReason?: string;
}

/** Marker that ends a whole streamed answer. */
export const STREAM_END = Buffer.from("data: [DONE]\n\n");

/**
 * Writes one chunk of a streamed answer as a server-sent event.
 *
 * @param settings See {@linkcode ChunkSettings}.
 */
export function encodeChunk(settings: ChunkSettings): Buffer {
    const choice = {
        index: 0,
        delta: settings.text === "" ? {} : { content: settings.text },
        // The convention has null, not an absent field, in all chunks but the last.
        // eslint-disable-next-line no-restricted-syntax
        finish_reason: settings.finishReason ?? null,
    };
    const chunk = { id: settings.id, object: "chat.completion.chunk", model: settings.model, choices: [choice] };
    return Buffer.from(`data: ${JSON.stringify(chunk)}\n\n`);
}

/** Settings of a whole answer. */
export interface CompletionSettings extends ChunkSettings {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/**
 * Writes a whole answer.
 *
 * @param settings See {@linkcode CompletionSettings}.
 */
export function encodeCompletion(settings: CompletionSettings): Buffer {
    const message = { role: "assistant", content: settings.text };
    const usage = {
        prompt_tokens: settings.promptTokens,
        completion_tokens: settings.outputTokens,
        total_tokens: settings.promptTokens + settings.outputTokens,
    };
    const choices = [{ index: 0, message, finish_reason: settings.finishReason ?? "stop" }];
    return Buffer.from(JSON.stringify({ id: settings.id, object: "chat.completion", model: settings.model, choices, usage }));
}
