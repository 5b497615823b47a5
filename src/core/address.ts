/** Network addresses of processes. */

/** An IP address and a port. */
export interface Address { readonly address: string, readonly port: number }
