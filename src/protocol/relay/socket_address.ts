/**
 * Check of addresses that other programs state.
 *
 * @module
 */

/** Highest number in an IPv4 address. */
const MAX_OCTET = 255;

/** Highest port. */
const MAX_PORT = 65_535;

/** Matches an IPv4 address and a port without leading zeros, which some readers take for octal numbers. */
const SOCKET_ADDRESS = /^(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2}):([1-9]\d{0,4})$/;

/** Returns whether a text is an IPv4 address and a port to which a connection can be opened, such as `10.1.0.25:7600`. */
export function isSocketAddress(text: string): boolean {
    const match = SOCKET_ADDRESS.exec(text);
    return match !== null && // eslint-disable-line no-restricted-syntax -- of RegExp
        match.slice(1, 5).every(octet => Number(octet) <= MAX_OCTET) && Number(match[5]) <= MAX_PORT;
}
