/**
 * Messages and log records that an earlier build wrote, with additions that a later build might make.
 *
 * @module
 */

import { BinaryReader, BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { readFile } from "node:fs/promises";

/** Folder of the recordings, one file for each build. */
const FOLDER = "features/fixtures/messages";

/** Fields that no message has; one of each wire type is added to messages. */
const UNKNOWN_FIELDS = new BinaryWriter()
    .tag(900, WireType.Varint).uint32(77)
    .tag(901, WireType.LengthDelimited).bytes(Buffer.from("later"))
    .tag(902, WireType.Bit32).fixed32(77)
    .tag(903, WireType.Bit64).fixed64(77)
    .finish();

/** Headers that no build sends. */
const UNKNOWN_HEADERS = "X-Later: 1\r\nLater-Seal: none\r\nKeep-Later: timeout=1\r\n";

/** Encoded message and the values that its writer gave its fields. */
export interface RecordedMessage {
    readonly hex: string;
    readonly meaning: Readonly<Record<string, unknown>>;
}

/** Record of the log with its value as text. */
export interface RecordedRecord {
    readonly topic: string;
    readonly key: string;
    readonly text: string;
}

/** Recording of one build. */
export interface RecordedMessages {
    readonly reports: Readonly<Record<string, RecordedMessage>>;
    readonly detourCalls: Readonly<Record<string, RecordedMessage>>;
    /** Bytes of each answer on the port for other nodes, as Latin-1. */
    readonly detourAnswers: Readonly<Record<string, string>>;
    readonly records: readonly RecordedRecord[];
}

/** Reads the recording of a build. */
export async function readRecordedMessages(commit: string): Promise<RecordedMessages> {
    return JSON.parse(await readFile(`${FOLDER}/${commit}.json`, "utf8")) as RecordedMessages;
}

/**
 * Adds fields that no build knows to a message and to the messages within it.
 *
 * @param nestedFields Numbers of the fields that hold messages.
 */
export function addUnknownFields(message: Uint8Array, nestedFields: ReadonlySet<number>): Uint8Array {
    const reader = new BinaryReader(message);
    const writer = new BinaryWriter();
    while (reader.pos < reader.len) {
        const [field, wireType] = reader.tag();
        writer.tag(field, wireType);
        if (wireType === WireType.LengthDelimited) {
            const bytes = reader.bytes();
            writer.bytes(nestedFields.has(field) ? addUnknownFields(bytes, new Set()) : bytes);
            continue;
        }
        writer.raw(reader.skip(wireType, field));
    }
    return writer.raw(UNKNOWN_FIELDS).finish();
}

/** Adds headers that no build knows to an HTTP answer. */
export function addUnknownHeaders(answer: string): string {
    const headersAt = answer.indexOf("\r\n") + 2;
    return answer.slice(0, headersAt) + UNKNOWN_HEADERS + answer.slice(headersAt);
}

/** Adds keys that no build knows to a JSON object. */
export function addUnknownKeys(text: string): string {
    return JSON.stringify({ ...JSON.parse(text) as object, later: { nested: [1] }, Later: "x" });
}
