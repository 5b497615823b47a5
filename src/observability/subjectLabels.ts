/** Labels for what callers address. Callers choose the names, and a metric keeps each label for good. */

/** Label of what the configuration does not have. */
export const UNKNOWN_LABEL = 'unknown'
/** Label of the subjects beyond `MAX_SUBJECTS`. */
export const OTHER_LABEL = 'other'
/** Subjects with a label of their own in the life of a process, also if the configuration has them no more. */
export const MAX_SUBJECTS = 1_000

/** The subjects that have a label of their own. */
export class SubjectLabels {
  readonly #subjects = new Set<string>()

  /** Returns the label of a subject. */
  labelOf (subject: string, isKnown: boolean): string {
    if (!isKnown) return UNKNOWN_LABEL
    if (this.#subjects.has(subject)) return subject
    if (this.#subjects.size >= MAX_SUBJECTS) return OTHER_LABEL
    this.#subjects.add(subject)
    return subject
  }
}
