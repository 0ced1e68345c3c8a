package org.fieldtrestle.cloud;

import java.util.List;

/** The result of a {@link RentalRequest}. */
public sealed interface RentalResult {
  /** These machines were rented; possibly fewer than requested. */
  record Rented(List<String> machines) implements RentalResult {}

  /** The cloud has no machines of the type in the zone now. */
  record NoCapacity() implements RentalResult {}

  /** It is not known whether the request was executed; it may be repeated under the same name. */
  record OutcomeUnknown() implements RentalResult {}

  /** The cloud does not accept the request; it must not be repeated. */
  record Rejected() implements RentalResult {}
}
