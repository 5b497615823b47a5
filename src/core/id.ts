/** Branded ids: string types that the compiler does not accept in place of each other. */

declare const brand: unique symbol

/** The id of an entity of the given kind. */
export type Id<Kind extends string> = string & { readonly [brand]: Kind }

/** A machine that runs a process of the system. */
export type HostId = Id<'Host'>
/** A region: several availability zones with low latency between them. */
export type RegionId = Id<'Region'>
/** An availability zone of a region. */
export type ZoneId = Id<'Zone'>
/** A group of entry hosts to which blocks of clients are steered. */
export type SiteId = Id<'Site'>
/** A workspace: owns keys and has a request rate. */
export type WorkspaceId = Id<'Workspace'>
/** The SHA-256 digest of a workspace key, in hex. The key itself is never stored. */
export type KeyDigest = Id<'KeyDigest'>
/** A service that callers send requests to. */
export type ServiceId = Id<'Service'>
/** A rule that maps an authority and a path prefix to services. */
export type RouteId = Id<'Route'>
/** The name of a steering profile. */
export type ProfileId = Id<'Profile'>
/** The name that a backend server announces, unique within its service. */
export type BackendId = Id<'Backend'>
/** One request of a caller, handled by one entry host. */
export type ExchangeId = Id<'Exchange'>
/** One attempt to run an exchange on a backend server. */
export type AttemptId = Id<'Attempt'>
/** The name of an operator. */
export type OperatorId = Id<'Operator'>
/** The idempotency key of an operator's command. */
export type RequestId = Id<'Request'>

/** Brands a plain string. It is not validated: the caller must pass an id of the right kind. */
export const toId = <T extends Id<string>>(text: string): T => text as T
