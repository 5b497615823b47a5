/** Where a process listens. */

/** An IP address and a port. */
export interface Address { readonly address: string, readonly port: number }
