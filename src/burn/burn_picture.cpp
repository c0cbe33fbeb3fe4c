#include "burn_picture.h"

#include "core/error.h"

#include <algorithm>
#include <cairo-svg.h>
#include <cairo.h>
#include <cmath>
#include <iomanip>
#include <memory>
#include <sstream>

namespace primrosecroft
{

namespace
{

// All lengths in pixels.
constexpr double width = 1080;
constexpr double headerHeight = 76;
constexpr double rowHeight = 74;
constexpr double barHeight = 12;
constexpr double barStep = 16;
constexpr double labelLeft = 16;
constexpr double windowLeft = 268;
constexpr double barLeft = 320;
constexpr double barWidth = 530;
constexpr double stateLeft = 930;
constexpr double fontSize = 13;
constexpr double smallFontSize = 11;

// Burn rates at the ends of the scale. Lower and higher ones are drawn as these.
constexpr double minBurn = 0.1;
constexpr double maxBurn = 100;

struct colour
{
    double red;
    double green;
    double blue;
};

constexpr colour textColour {0.13, 0.15, 0.18};
constexpr colour lineColour {0.80, 0.82, 0.85};
constexpr colour normalColour {0.20, 0.55, 0.45};
constexpr colour warningColour {0.87, 0.58, 0.10};
constexpr colour alertColour {0.78, 0.16, 0.16};

using context_pointer = std::unique_ptr<cairo_t, decltype(&cairo_destroy)>;
using surface_pointer = std::unique_ptr<cairo_surface_t, decltype(&cairo_surface_destroy)>;

void setColour(cairo_t *context, const colour &value)
{
    cairo_set_source_rgb(context, value.red, value.green, value.blue);
}

void write(cairo_t *context, double left, double base, const std::string &text, double size = fontSize)
{
    cairo_set_font_size(context, size);
    cairo_move_to(context, left, base);
    cairo_show_text(context, text.c_str());
}

double barLength(double burn)
{
    const auto clamped = std::clamp(burn, minBurn, maxBurn);
    return barWidth * std::log(clamped / minBurn) / std::log(maxBurn / minBurn);
}

std::string shortNumber(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(value < 10 ? 2 : 1) << value;
    return out.str();
}

std::string shortTime(std::chrono::milliseconds time)
{
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(time);
    if (minutes.count() > 0) {
        return std::to_string(minutes.count()) + " min";
    }
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count()) + " s";
}

void drawScale(cairo_t *context, double bottom)
{
    for (const auto burn : {0.1, 1.0, 6.0, 14.4, 100.0}) {
        const auto left = barLeft + barLength(burn);
        setColour(context, lineColour);
        cairo_set_line_width(context, burn == 1.0 ? 2 : 1);
        cairo_move_to(context, left, headerHeight - 8);
        cairo_line_to(context, left, bottom);
        cairo_stroke(context);
        setColour(context, textColour);
        std::ostringstream label;
        label << burn;
        write(context, left - 8, headerHeight - 14, label.str(), smallFontSize);
    }
}

const colour &colourOf(double burn, double threshold)
{
    if (burn > threshold) {
        return alertColour;
    }
    return burn > 1 ? warningColour : normalColour;
}

void drawWindow(cairo_t *context, const window_result &window, const alert_window &definition, double top)
{
    const auto base = top + barHeight - 2;
    setColour(context, textColour);
    write(context, windowLeft, base, definition.name, smallFontSize);
    auto labelAt = barLeft + 4;
    std::string label = "no events";
    if (window.burn) {
        const auto length = std::max(2.0, barLength(*window.burn));
        setColour(context, colourOf(*window.burn, definition.threshold));
        cairo_rectangle(context, barLeft, top, length, barHeight);
        cairo_fill(context);
        labelAt += length;
        label = shortNumber(*window.burn);
    }
    if (window.covered < definition.length) {
        label += " (covers " + shortTime(window.covered) + ")";
    }
    setColour(context, textColour);
    write(context, labelAt, base, label, smallFontSize);
}

void drawRow(cairo_t *context, const burn_row &row, double top)
{
    setColour(context, lineColour);
    cairo_set_line_width(context, 1);
    cairo_move_to(context, labelLeft, top - 4);
    cairo_line_to(context, width - labelLeft, top - 4);
    cairo_stroke(context);
    setColour(context, textColour);
    write(context, labelLeft, top + 14, row.objective);
    write(context, labelLeft, top + 32, row.failureDomain.empty() ? "all failure domains" : row.failureDomain);
    std::ostringstream target;
    target << "target " << row.target * 100 << " %";
    write(context, labelLeft, top + 50, target.str(), smallFontSize);
    for (std::size_t index = 0; index < alertWindows.size(); ++index) {
        drawWindow(context, row.windows.at(index), alertWindows.at(index), top + barStep * static_cast<double>(index));
    }
    const auto isAlert = row.state == burn_state::fastBurn || row.state == burn_state::unseen;
    const auto &nonAlertColour = row.state == burn_state::slowBurn ? warningColour : textColour;
    setColour(context, isAlert ? alertColour : nonAlertColour);
    write(context, stateLeft, top + 14, toString(row.state));
    setColour(context, textColour);
    const auto note = [&](const char *what, std::size_t count, double base) {
        if (count > 0) {
            write(context, stateLeft, base, std::string(what) + ": " + std::to_string(count), smallFontSize);
        }
    };
    note("daemons missing", row.missing.size(), top + 30);
    note("with gaps", row.gaps.size(), top + 44);
    note("counters reset", row.resets.size(), top + 58);
}

void drawReport(cairo_t *context, const burn_report &report, double height)
{
    cairo_set_source_rgb(context, 1, 1, 1);
    cairo_paint(context);
    cairo_select_font_face(context, "sans-serif", CAIRO_FONT_SLANT_NORMAL, CAIRO_FONT_WEIGHT_NORMAL);
    setColour(context, textColour);
    write(context, labelLeft, 26,
          "Error budget burn rate (1 uses it up exactly by the end of its period; fast alert 14.4, slow alert 6)",
          fontSize + 2);
    drawScale(context, height - 8);
    auto top = headerHeight;
    for (const auto &row : report.rows) {
        drawRow(context, row, top);
        top += rowHeight;
    }
}

} // namespace

void drawPicture(const burn_report &report, const std::string &path)
{
    const auto height = headerHeight + rowHeight * static_cast<double>(report.rows.size()) + 8;
    const auto isPng = path.ends_with(".png");
    if (!isPng && !path.ends_with(".svg")) {
        throw error("draw picture", "", path + ": expected a file name that ends with .png or .svg");
    }
    const surface_pointer surface(
        isPng ? cairo_image_surface_create(CAIRO_FORMAT_RGB24, static_cast<int>(width), static_cast<int>(height))
              : cairo_svg_surface_create(path.c_str(), width, height),
        &cairo_surface_destroy);
    const context_pointer context(cairo_create(surface.get()), &cairo_destroy);
    drawReport(context.get(), report, height);
    auto status = cairo_status(context.get());
    if (isPng && status == CAIRO_STATUS_SUCCESS) {
        status = cairo_surface_write_to_png(surface.get(), path.c_str());
    }
    if (!isPng) {
        cairo_surface_finish(surface.get());
        status = cairo_surface_status(surface.get());
    }
    if (status != CAIRO_STATUS_SUCCESS) {
        throw error("draw picture", "", path + ": " + cairo_status_to_string(status));
    }
}

} // namespace primrosecroft
