/** Network addresses of processes. */

/** An IP address and a port. */
export interface Address { readonly address: string, readonly port: number }

/** Address of a host that can be answered only over a link that it has opened. */
export const UNKNOWN_ADDRESS: Address = { address: '', port: 0 }

/** Parses `IP:PORT`; the port is NaN where it isn't a number. */
export const parseAddress = (text: string): Address => {
  const colon = text.lastIndexOf(':')
  return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
