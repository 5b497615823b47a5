/** The version of this build. */

declare const RHUBARBSEAM_VERSION: string | undefined

/** The version from package.json, defined by the build; `development` without a build. */
export const version: string = typeof RHUBARBSEAM_VERSION === 'string' ? RHUBARBSEAM_VERSION : 'development'
