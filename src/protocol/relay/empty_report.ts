/**
 * Report without figures.
 *
 * @module
 */

import { PeerReport } from "../gen/relay.js";

/** Report whose fields have their default values; base of reports that set only some. */
export const EMPTY_REPORT: PeerReport = PeerReport.decode(new Uint8Array());
