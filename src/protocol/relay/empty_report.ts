/**
 * Peer report with default values.
 *
 * @module
 */

import { PeerReport } from "../gen/relay.js";

/** Report whose fields all have their default values; the base of reports that set only some fields. */
export const EMPTY_REPORT: PeerReport = PeerReport.decode(new Uint8Array());
