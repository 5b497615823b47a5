/** Branded ids: strings that the compiler keeps apart. */

declare const brand: unique symbol

/** A string that names one kind of entity. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind }

/** A machine that runs a process of the system. */
export type HostId = Id<'Host'>
/** A region: several availability zones close to each other. */
export type RegionId = Id<'Region'>
/** An availability zone inside a region. */
export type ZoneId = Id<'Zone'>
/** A group of entry hosts that client blocks are steered to. */
export type SiteId = Id<'Site'>
/** A tenant that owns keys and has a rate. */
export type WorkspaceId = Id<'Workspace'>
/** The SHA-256 digest of a workspace key, in hex. The key itself is never stored. */
export type KeyDigest = Id<'KeyDigest'>
/** A service that callers address. */
export type ServiceId = Id<'Service'>
/** A rule that maps requests of one authority and path prefix to services. */
export type RouteId = Id<'Route'>
/** The name of a steering profile. */
export type ProfileId = Id<'Profile'>
/** A backend server's announced name, unique within its service. */
export type BackendId = Id<'Backend'>
/** One request of a caller at one entry host. */
export type ExchangeId = Id<'Exchange'>
/** One try of an exchange at a backend server. */
export type AttemptId = Id<'Attempt'>
/** A person who drives the system. */
export type OperatorId = Id<'Operator'>
/** An operator's idempotency key for one command. */
export type RequestId = Id<'Request'>

/** Gives a plain string its brand; the caller vouches for the kind. */
export const toId = <T extends Id<string>>(text: string): T => text as T
