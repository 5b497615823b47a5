/** Exit codes of the command line, stated in docs/OPERATIONS.md. */

/** What each exit code means. */
export const exitCodes = {
  success: 0,
  wrongUse: 2,
  settingsInvalid: 3,
  cannotStart: 4,
  refused: 5,
  outcomeUnknown: 6,
  invariantBroken: 70,
  diskFailed: 74
} as const
