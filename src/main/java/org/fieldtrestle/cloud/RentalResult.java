package org.fieldtrestle.cloud;

import java.util.List;

/** The result of a {@link RentalRequest}. */
public sealed interface RentalResult {
  /** The machines that were rented, possibly fewer than requested. */
  record Rented(List<String> machines) implements RentalResult {}

  /** The cloud has no machines of the requested type in the zone at present. */
  record NoCapacity() implements RentalResult {}

  /**
   * It is not known whether the request was executed. It may be repeated with the same identifier.
   */
  record OutcomeUnknown() implements RentalResult {}

  /** The cloud has rejected the request, which must not be repeated. */
  record Rejected() implements RentalResult {}
}
